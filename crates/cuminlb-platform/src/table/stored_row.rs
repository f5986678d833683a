//! The JSON envelope in which every row is stored.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The stored form of every row: the value, the operation that wrote it, and the version that the
/// operation replaced.
///
/// A writer whose response was lost reads the row back. If the row carries its operation id, the
/// write took effect. If it carries the id of another operation that replaced exactly the version
/// which the writer expected, the write can't have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRow<T> {
    /// The operation that wrote the row.
    pub operation: OperationId,
    /// The version that the operation replaced; `None` if the row was absent.
    #[serde(default)]
    pub replaced: Option<RowVersion>,
    /// The value of the row.
    pub value: T,
}
