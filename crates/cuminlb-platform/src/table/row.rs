//! A decoded row of the table.

use cuminlb_types::prelude::*;

/// A decoded row: its version, the operation that last wrote it, and its typed value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row<T> {
    /// The version of the row.
    pub version: RowVersion,
    /// The operation that last wrote the row.
    pub operation: OperationId,
    /// The version that this operation replaced; `None` if the row was absent.
    pub replaced: Option<RowVersion>,
    /// The value of the row.
    pub value: T,
}
