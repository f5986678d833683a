//! The decision whether a request may be sent.

use cuminlb_types::prelude::*;

use super::CrashCause;

/// Whether a request may be sent to an instance, by what it contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may be sent.
    Allowed,
    /// The request may be sent once, to find out whether a cause still crashes instances.
    Probe {
        /// The cause.
        cause: CrashCause,
    },
    /// The request must not be sent.
    Quarantined {
        /// The cause.
        cause: CrashCause,
        /// The time after which it may be let through as a probe.
        retry_after_ms: Millis,
    },
}
