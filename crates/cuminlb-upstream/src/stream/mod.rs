//! Streamed responses: the server-sent events of a model engine.

mod chunk_id;
mod event_decoder;
mod stream_error;
mod stream_event;

pub use self::chunk_id::ChunkId;
pub use self::event_decoder::EventDecoder;
pub use self::stream_error::StreamError;
pub use self::stream_event::{DONE_MARKER, StreamEvent};
