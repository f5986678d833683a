//! The claim row that a request is about to write.

use cuminlb_fleet::rows::{ClaimName, ClaimRow, RowKeys};
use cuminlb_types::prelude::*;

/// The claim that a request has to acquire before it may be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The key of the row.
    pub key: RowKey,
    /// The row, whose state is that the request is running.
    pub row: ClaimRow,
    /// The version of an earlier claim that is taken over.
    pub expected: Option<RowVersion>,
}

impl ClaimRequest {
    /// Creates a claim under a name, which replaces no earlier one.
    pub fn new(name: &ClaimName, row: ClaimRow) -> Self {
        Self {
            key: RowKeys::claim(&row.team, &row.service, name),
            row,
            expected: None,
        }
    }
}
