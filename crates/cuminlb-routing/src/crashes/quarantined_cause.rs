//! A cause that must not be sent.

use tokio::time::Instant;

use super::CrashCause;

/// A cause that crashed several instances and never ran in between.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantinedCause {
    /// The cause.
    pub cause: CrashCause,
    /// The time of the crash that led to the quarantine.
    pub since: Instant,
    /// The time of the latest crash.
    pub last_crash_at: Instant,
}
