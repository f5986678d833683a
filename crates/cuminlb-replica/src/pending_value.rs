//! A large value that a node knows of but does not have.

use cuminlb_catalog::StoreTable;
use cuminlb_peer::ChunkList;
use cuminlb_types::prelude::*;

/// A large value that has been announced and not yet arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingValue {
    /// The table.
    pub table: StoreTable,
    /// The key of the row.
    pub key: RowKey,
    /// The version of the row.
    pub version: StoreVersion,
    /// The chunks of the value.
    pub list: ChunkList,
    /// The node that announced it, and has it.
    pub announced_by: NodeId,
}
