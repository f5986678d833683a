//! The failure of one attempt to run a request on an instance.

use smol_str::SmolStr;

/// Why an attempt ended without a response for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum AttemptFailure {
    /// The instance has not run the request and never will.
    #[error("not run: {reason}")]
    NotRun {
        /// The observed cause.
        reason: SmolStr,
        /// Whether the request reached the instance.
        has_reached_instance: bool,
    },
    /// The request may have run.
    #[error("unknown: {reason}")]
    Unknown {
        /// The observed cause.
        reason: SmolStr,
    },
    /// Nothing was received, and the instance seems to be stalled.
    #[error("silent")]
    Silent,
}

impl AttemptFailure {
    pub(super) fn unknown(reason: impl Into<SmolStr>) -> Self {
        Self::Unknown {
            reason: reason.into(),
        }
    }
}
