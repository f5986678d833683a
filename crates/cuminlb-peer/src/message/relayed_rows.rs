//! The rows of a platform's store that nodes relay to each other.

use cuminlb_catalog::RowChangeSet;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The changes to a table of the platform's store that a node relays to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedRows {
    /// The changed rows.
    pub changes: RowChangeSet,
    /// The time since the node itself last read the table from the store.
    pub heard_ms: Millis,
    /// Whether the node's latest call to the store failed.
    pub is_store_lost: bool,
}
