//! What the machine of a node can bear.

use std::cmp::Ordering;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The capacity of the machine that a node runs on. Zero means unknown.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeCapacity {
    /// The bandwidth of the network link.
    pub link_mbps: LinkRate,
    /// The share of a processor core.
    pub cpu_cores: CoreShare,
}

impl NodeCapacity {
    /// Orders capacities by how well they suit a node that serves others: by bandwidth, then by
    /// processor share.
    pub fn cmp_strength(&self, other: &Self) -> Ordering {
        let by_link = self.link_mbps.get().total_cmp(&other.link_mbps.get());
        by_link.then_with(|| self.cpu_cores.get().total_cmp(&other.cpu_cores.get()))
    }
}
