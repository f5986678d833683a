//! The boundary to the other nodes.

use std::sync::Arc;

use cuminlb_peer::RelayPeer;
use cuminlb_types::prelude::*;

use crate::{Membership, RelayLane};

/// The other nodes, as the following tasks reach them.
pub trait RelayPeers: Send + Sync + 'static {
    /// Returns the nodes as this node knows them.
    fn membership(&self) -> Membership;

    /// Returns the link to a node for a kind of traffic, if the node is listed.
    fn link(&self, node: &NodeId, lane: RelayLane) -> Option<Arc<dyn RelayPeer>>;
}
