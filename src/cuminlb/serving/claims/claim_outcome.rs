//! The result of acquiring a claim, which decides whether the request is sent.

use cuminlb_fleet::rows::ClaimRow;

use super::{CompleteResponse, HeldClaim};

/// The result of a request's attempt to acquire its claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim was acquired: the request may be sent.
    Held(HeldClaim),
    /// The response to an earlier request under the same name.
    Recorded(CompleteResponse),
    /// The claim of an earlier request under the same name, which may still be running.
    Open(ClaimRow),
}
