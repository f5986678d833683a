//! The versions up to which a node has the tables of the store.

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A version of each table of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TableCursors {
    /// The version of the operators' desired state.
    pub desired: StoreVersion,
    /// The version of the entries of the instances.
    pub instances: StoreVersion,
    /// The version of the entries of the nodes.
    pub nodes: StoreVersion,
}

impl TableCursors {
    /// Returns the version of a table.
    pub const fn get(&self, table: StoreTable) -> StoreVersion {
        match table {
            StoreTable::Desired => self.desired,
            StoreTable::Instances => self.instances,
            StoreTable::Nodes => self.nodes,
        }
    }

    /// Sets the version of a table.
    pub const fn set(&mut self, table: StoreTable, version: StoreVersion) {
        match table {
            StoreTable::Desired => self.desired = version,
            StoreTable::Instances => self.instances = version,
            StoreTable::Nodes => self.nodes = version,
        }
    }

    /// Returns whether any table has a newer version here than in `other`.
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        StoreTable::ALL
            .into_iter()
            .any(|table| self.get(table) > other.get(table))
    }
}
