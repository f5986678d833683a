//! The changes of one table of the store that nodes relay to each other.

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::RelayedRow;

/// The changes of one table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedTable {
    /// The table.
    pub table: StoreTable,
    /// Whether these are all rows of the table, so that a missing row has been removed.
    pub is_whole: bool,
    /// The rows.
    pub rows: Vec<RelayedRow>,
    /// The version up to which the rows are complete.
    pub version: StoreVersion,
    /// The time since the store was known to hold no newer rows.
    pub heard_ms: Millis,
}
