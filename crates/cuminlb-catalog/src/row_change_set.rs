//! [`RowChangeSet`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::SharedRow;

/// Rows of one table, up to a version of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RowChangeSet {
    /// Whether these are all rows of the table, so that a row that is missing was removed.
    pub is_whole: bool,
    /// The rows.
    pub rows: Vec<SharedRow>,
    /// The version up to which nothing is missing.
    pub version: RowVersion,
}
