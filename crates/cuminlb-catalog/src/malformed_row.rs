//! The error of a row of the store that cannot be parsed.

use cuminlb_types::prelude::*;
use smol_str::SmolStr;

/// A row of the store cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("failed to parse row {key}: {reason}")]
pub struct MalformedRow {
    /// The key of the row.
    pub key: RowKey,
    /// Why parsing failed.
    pub reason: SmolStr,
}
