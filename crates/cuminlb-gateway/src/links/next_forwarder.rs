//! Whether another node is asked to forward a request.

use crate::upstream::SendFailure;

/// Whether another node is asked to forward a request that one has not forwarded.
#[derive(Debug)]
pub(super) enum NextForwarder {
    /// The request was not sent, and another node may be able to.
    Ask,
    /// The request may have run, or no other node could send it either.
    GiveUp(SendFailure),
}
