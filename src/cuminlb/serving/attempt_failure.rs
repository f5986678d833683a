//! The failures of one attempt to run a request.

use cuminlb_routing::Refusal;
use cuminlb_upstream::UpstreamError;

/// The reason why one attempt to run a request gave no response.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub(super) enum AttemptFailure {
    /// Nothing was sent: no group had a slot, or the request is quarantined.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The upstream gave no complete response.
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
}

impl AttemptFailure {
    /// Returns whether the request may have run in this attempt.
    pub(super) const fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(_) => false,
            Self::Upstream(error) => error.may_have_run(),
        }
    }
}
