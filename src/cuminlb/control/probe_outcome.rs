//! The outcome of one probe of a group member.

use tokio::time::{Duration, Instant};

/// The outcome of one probe of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeOutcome {
    /// The member is up and in its group.
    Proved {
        /// When the probe was sent.
        sent_at: Instant,
        /// The time from the probe to the response.
        took: Duration,
    },
    /// The member is up and has been ordered to join, or its report is not trusted yet.
    Joining,
    /// The member runs as another incarnation of its process than the one in the group.
    Restarted,
    /// The connection was refused or broken.
    Refused,
    /// No usable response came in time, or the address of the member is unknown.
    Silent,
}
