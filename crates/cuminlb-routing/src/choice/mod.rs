//! Selects the group that a request tries.

mod group_candidate;
mod group_chooser;
mod in_flight_count;
mod load_board;
mod load_estimates;
mod load_key;
mod prefix_key;
mod retry_times;
mod unavailability;
mod wait_decision;

pub use self::group_candidate::GroupCandidate;
pub use self::group_chooser::GroupChooser;
pub use self::in_flight_count::InFlightCount;
pub use self::load_board::LoadBoard;
pub use self::load_estimates::LoadEstimates;
pub use self::load_key::LoadKey;
pub use self::prefix_key::PrefixKey;
pub use self::retry_times::RetryTimes;
pub use self::unavailability::Unavailability;
pub use self::wait_decision::WaitDecision;
