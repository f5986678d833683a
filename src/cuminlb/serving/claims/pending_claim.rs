//! An entry of the queue of claims that [`super::claim_writer`] writes.

use tokio::sync::oneshot;

use super::{ClaimError, ClaimRequest, HeldClaim};

/// A claim that is to be written, and the channel for the result.
///
/// If the receiver is gone, sending the result drops the [`HeldClaim`], which settles it as not
/// run.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) claim: ClaimRequest,
    pub(super) reply: oneshot::Sender<Result<HeldClaim, ClaimError>>,
}

impl PendingClaim {
    /// Reports to the request that it gets no claim.
    pub(super) fn fail(self, error: ClaimError) {
        // A request that has timed out no longer receives the reply.
        let _ = self.reply.send(Err(error));
    }
}
