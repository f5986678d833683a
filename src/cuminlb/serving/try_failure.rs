//! [`TryFailure`].

use cuminlb_routing::Refusal;
use cuminlb_upstream::UpstreamError;

/// The reason why one try of a request gave no answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub(super) enum TryFailure {
    /// Nothing was sent: no group had a slot, or the request is quarantined.
    #[error(transparent)]
    Refused(#[from] Refusal),
    /// The upstream gave no whole answer.
    #[error(transparent)]
    Upstream(#[from] UpstreamError),
}

impl TryFailure {
    /// Tells whether the request may have run in this try.
    pub(super) const fn may_have_run(&self) -> bool {
        match self {
            Self::Refused(_) => false,
            Self::Upstream(error) => error.may_have_run(),
        }
    }
}
