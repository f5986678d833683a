//! [`StoredRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The form of every row in the table: the value, the operation that wrote it, and what it wrote
/// over.
///
/// The operation lets a writer whose answer was lost see whether the write took effect. The
/// version written over lets it see, where another operation stands in the row, whether that one
/// took the very version that the writer expected, so that the write can't have taken effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRow<T> {
    /// The operation that wrote the row.
    pub operation: OperationId,
    /// The version that the operation replaced; `None` where the row was absent.
    #[serde(default)]
    pub replaced: Option<RowVersion>,
    /// The value of the row.
    pub value: T,
}
