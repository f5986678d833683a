//! [`ClaimFailure`].

use cuminlb_fleet::rows::ClaimRow;
use cuminlb_platform::Row;

/// The reason why a request has no claim.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
pub enum ClaimFailure {
    /// The claim was not certainly written in time; nobody will use it.
    #[error("the claim could not be written in time")]
    Unavailable,
    /// There is an earlier claim under the same name.
    #[error("request {} has the claim", .0.value.request)]
    Taken(Box<Row<ClaimRow>>),
}
