//! [`StoreTable`].

use std::fmt;

use serde::{Deserialize, Serialize};

/// The tables of the platform's store that a node follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum StoreTable {
    /// What operators want.
    Desired,
    /// What instances say of themselves.
    Instances,
    /// What nodes say of themselves, and their leases.
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
