//! [`ClaimAttempt`].

use cuminlb_fleet::rows::ClaimRow;

use super::{HeldClaim, WholeAnswer};

/// What a request gets that asks for its claim.
#[derive(Debug)]
pub enum ClaimAttempt {
    /// The claim: the request may be sent.
    Held(HeldClaim),
    /// The answer to an earlier request under the same name.
    Recorded(WholeAnswer),
    /// An earlier request under the same name may still be running.
    Open(ClaimRow),
}
