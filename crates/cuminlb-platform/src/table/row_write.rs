//! [`RowWrite`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One row that a transaction changes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowWrite {
    /// The row.
    pub key: RowKey,
    /// What becomes of the row.
    pub change: RowChange,
}

/// What becomes of a row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// The row is written whole; the text is a serialised [`StoredRow`](crate::StoredRow).
    Put(String),
    /// The row is removed.
    Delete,
}
