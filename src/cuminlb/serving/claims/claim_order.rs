//! [`ClaimOrder`].

use tokio::sync::oneshot;

use super::{ClaimFailure, HeldClaim, WantedClaim};

/// A claim to be written, and where the answer goes.
///
/// An answer that nobody waits for any more drops the claim, which settles it as not run.
#[derive(Debug)]
pub(super) struct ClaimOrder {
    pub(super) wanted: WantedClaim,
    pub(super) reply: oneshot::Sender<Result<HeldClaim, ClaimFailure>>,
}

impl ClaimOrder {
    /// Tells the request that it gets no claim.
    pub(super) fn fail(self, failure: ClaimFailure) {
        // A request that has given up needs no answer.
        let _ = self.reply.send(Err(failure));
    }
}
