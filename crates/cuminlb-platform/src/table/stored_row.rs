//! [`StoredRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The form of every row in the table: the value and the operation that wrote it.
///
/// The operation lets a writer whose answer was lost see whether the write took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StoredRow<T> {
    /// The operation that wrote the row.
    pub operation: OperationId,
    /// The value of the row.
    pub value: T,
}
