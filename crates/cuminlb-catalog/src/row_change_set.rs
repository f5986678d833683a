//! A snapshot of, or changes to, one table of the platform's store.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::SharedRow;

/// The rows of one table, or those that changed, up to a version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowChangeSet {
    /// Whether these are all rows of the table, so that a missing row has been removed.
    pub is_whole: bool,
    /// The rows.
    pub rows: Vec<SharedRow>,
    /// The version up to which the rows are complete.
    pub version: StoreVersion,
}
