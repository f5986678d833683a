//! [`ProbeOutcome`].

use tokio::time::{Duration, Instant};

/// What one probe of a member found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeOutcome {
    /// The member is up and in its group.
    Proved {
        /// When the probe was sent.
        sent_at: Instant,
        /// How long the answer took.
        took: Duration,
    },
    /// The member is up and has been ordered to join, or is not trusted yet.
    Joining,
    /// The member answered from another start of its process.
    Restarted,
    /// The connection was refused or broken off.
    Refused,
    /// No answer came in time.
    Silent,
}
