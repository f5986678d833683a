//! [`RelayedRows`].

use cuminlb_catalog::RowChangeSet;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a node passes on of a table of the platform's store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedRows {
    /// The changes.
    pub changes: RowChangeSet,
    /// How long ago the node heard the store itself.
    pub heard_ms: Millis,
    /// Whether the node's newest call to the store has failed.
    pub is_store_lost: bool,
}
