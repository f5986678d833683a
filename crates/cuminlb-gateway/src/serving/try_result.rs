//! [`TryFailure`].

use smol_str::SmolStr;

/// How one send of a request ended without an answer for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum TryFailure {
    /// The request has not run there and never will.
    #[error("not run: {reason}")]
    NotRun {
        /// What was seen.
        reason: SmolStr,
        /// Whether the request reached the instance.
        has_arrived: bool,
    },
    /// The request may have run.
    #[error("unknown: {reason}")]
    Unknown {
        /// What was seen.
        reason: SmolStr,
    },
    /// Nothing came, and the instance seems to stand still.
    #[error("silent")]
    Silent,
}

impl TryFailure {
    pub(super) fn unknown(reason: impl Into<SmolStr>) -> Self {
        Self::Unknown {
            reason: reason.into(),
        }
    }
}
