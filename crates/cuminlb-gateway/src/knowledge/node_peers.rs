//! The other nodes as the following tasks reach them.

use std::sync::Arc;

use cuminlb_peer::RelayPeer;
use cuminlb_replica::{Membership, RelayLane, RelayPeers};
use cuminlb_types::prelude::*;

use super::{Knowledge, PeerLinks};

/// The other nodes, as listed in the store.
#[derive(Debug)]
pub(crate) struct NodePeers {
    /// The id of this node.
    pub(crate) own_id: NodeId,
    /// The availability zone of this node.
    pub(crate) zone: ZoneId,
    pub(crate) knowledge: Arc<Knowledge>,
    pub(crate) links: Arc<PeerLinks>,
}

impl RelayPeers for NodePeers {
    fn membership(&self) -> Membership {
        Membership {
            own_id: self.own_id.clone(),
            zone: self.zone.clone(),
            leader: self.knowledge.leader(),
            nodes: Arc::clone(&self.knowledge.directory().nodes),
        }
    }

    fn link(&self, node: &NodeId, lane: RelayLane) -> Option<Arc<dyn RelayPeer>> {
        let link = self.links.link(&self.knowledge.directory(), node, lane)?;
        Some(link)
    }
}
