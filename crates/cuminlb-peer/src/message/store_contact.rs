//! Whether a node is served by the store.

use serde::{Deserialize, Serialize};

/// How a node reaches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum StoreContact {
    /// The node calls the store, and a call for some table succeeded.
    Served,
    /// The node calls the store, and the latest call for each table failed.
    Lost,
    /// The node follows a peer and does not call the store.
    Indirect,
}
