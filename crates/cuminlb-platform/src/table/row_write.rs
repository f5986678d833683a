//! Writes of a transaction on the wire.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The write of one row in a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowWrite {
    /// The row.
    pub key: RowKey,
    /// What is written.
    pub change: RowChange,
}

/// The change of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowChange {
    /// The row is created or replaced by this [`StoredRow`](crate::StoredRow) as JSON.
    Put(String),
    /// The row is deleted.
    Delete,
}
