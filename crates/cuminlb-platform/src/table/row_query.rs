//! [`RowQuery`] and [`RowAnswer`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks for one row, unless the reader knows its present version already.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowQuery {
    /// The row.
    pub key: RowKey,
    /// The version that the reader knows.
    pub known: Option<RowVersion>,
}

/// The answer to a [`RowQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowAnswer {
    /// There is no such row.
    Absent,
    /// The row still has the version that the reader knows.
    Unchanged,
    /// The row, with its text.
    Found {
        /// The version of the row.
        version: RowVersion,
        /// The serialised [`StoredRow`](crate::StoredRow).
        text: String,
    },
}
