//! The wire format of reads: a query for one row and the response to it.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A query for one row; its text is returned only if the reader doesn't have the current version.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowQuery {
    /// The row.
    pub key: RowKey,
    /// The version that the reader already has.
    pub known: Option<RowVersion>,
}

/// The response to a [`RowQuery`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RowResponse {
    /// The row does not exist.
    Absent,
    /// The row still has the version that the reader already has.
    Unchanged,
    /// The row exists, in another version than the reader has.
    Found {
        /// The version of the row.
        version: RowVersion,
        /// The [`StoredRow`](crate::StoredRow) as JSON.
        text: String,
    },
}
