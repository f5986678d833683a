//! A node that may forward requests.

use cuminlb_types::prelude::*;

/// A node that may forward requests to instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwarderCandidate {
    /// The node.
    pub node: NodeId,
    /// Whether it is in the availability zone of the node that asks.
    pub is_same_zone: bool,
}
