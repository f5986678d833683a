//! The tables of the platform's store.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A table of the platform's store that nodes watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum StoreTable {
    /// The operators' desired state.
    Desired,
    /// The entries of the instances.
    Instances,
    /// The entries of the nodes, and their leases.
    Nodes,
}

impl StoreTable {
    /// All tables.
    pub const ALL: [Self; 3] = [Self::Desired, Self::Instances, Self::Nodes];
}

impl fmt::Display for StoreTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Desired => "desired",
            Self::Instances => "instances",
            Self::Nodes => "nodes",
        })
    }
}
