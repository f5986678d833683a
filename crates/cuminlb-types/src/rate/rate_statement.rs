//! What an instance states about its rate limit.

use super::RequestsPerSecond;

/// What a response states about the rate of requests that its instance takes from all nodes together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum RateStatement {
    /// The response states no limit, which ends one that was stated before.
    #[default]
    Unlimited,
    /// The instance takes this rate at most.
    Limited(RequestsPerSecond),
    /// The response states a limit that is no rate.
    Unreadable,
}
