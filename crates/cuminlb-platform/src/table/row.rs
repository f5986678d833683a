//! [`Row`].

use cuminlb_types::prelude::*;

/// A row as its reader sees it: its version, its last writer and its typed value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row<T> {
    /// The version of the row.
    pub version: RowVersion,
    /// The operation that last wrote the row.
    pub operation: OperationId,
    /// The version that this operation replaced; `None` where the row was absent.
    pub replaced: Option<RowVersion>,
    /// The value of the row.
    pub value: T,
}
