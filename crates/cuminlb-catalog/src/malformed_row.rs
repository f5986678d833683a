//! [`MalformedRow`].

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// The reason why a row of the store can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the row {key} can't be read: {reason}")]
pub struct MalformedRow {
    /// The row.
    pub key: RowKey,
    /// What is wrong with it.
    pub reason: SmolStr,
}
