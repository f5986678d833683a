//! The changes of the store's tables that nodes relay to each other.

use serde::{Deserialize, Serialize};

use super::{RelayedTable, StoreContact};

/// The changes of all tables that a node relays to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RelayedUpdate {
    /// The changes of each table.
    pub tables: Vec<RelayedTable>,
    /// How the node reaches the store.
    pub contact: StoreContact,
}
