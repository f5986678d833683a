//! Selects the group that a request tries.

mod group_candidate;
mod group_chooser;
mod in_flight_count;
mod load_board;
mod load_estimates;
mod prefix_key;

pub use self::group_candidate::GroupCandidate;
pub use self::group_chooser::GroupChooser;
pub use self::in_flight_count::InFlightCount;
pub use self::load_board::LoadBoard;
pub use self::load_estimates::LoadEstimates;
pub use self::prefix_key::PrefixKey;
