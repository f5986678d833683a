//! The errors of writing a claim.

use cuminlb_fleet::rows::ClaimRow;
use cuminlb_platform::Row;

/// The reason why a request did not get its claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum ClaimError {
    /// The write was not confirmed in time; no request will use the claim.
    #[error("the claim could not be written in time")]
    Unavailable,
    /// There is an earlier claim under the same name.
    #[error("request {} holds the claim", .0.value.request)]
    Taken(Box<Row<ClaimRow>>),
}
