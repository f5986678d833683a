//! Which events of a stream a caller receives when several runs produce it.

mod event_content;
mod event_place;
mod run_progress;
mod stream_position;

pub use self::event_content::EventContent;
pub use self::event_place::EventPlace;
pub use self::stream_position::StreamPosition;
