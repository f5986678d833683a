//! How long a caller's connection may wait.

use std::time::Duration;

/// How long a caller's connection may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// The time within which the head of a request must be received completely.
    pub head_timeout: Duration,
    /// The time after the deadline of a request for which its response may make no progress.
    pub send_timeout: Duration,
}
