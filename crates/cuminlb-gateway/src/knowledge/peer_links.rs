//! The connections to the other nodes.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use cuminlb_peer::{PeerToken, RelayLink};
use cuminlb_replica::RelayLane;
use cuminlb_types::prelude::*;
use smol_str::SmolStr;

use super::Directory;

/// Timeout of a call to a peer.
const PEER_TIMEOUT_MS: Millis = Millis(400);

/// The links to the other nodes, opened on first use.
#[derive(Debug)]
pub(crate) struct PeerLinks {
    own_id: NodeId,
    token: PeerToken,
    links: Mutex<BTreeMap<(NodeId, RelayLane), Arc<RelayLink>>>,
}

impl PeerLinks {
    pub(crate) fn new(own_id: NodeId, token: SmolStr) -> Self {
        Self {
            own_id,
            token: PeerToken::new(token),
            links: Mutex::default(),
        }
    }

    pub(crate) fn token(&self) -> PeerToken {
        self.token.clone()
    }

    /// Returns the link to a node for a kind of traffic, if the node is listed.
    pub(crate) fn link(
        &self,
        directory: &Directory,
        node: &NodeId,
        lane: RelayLane,
    ) -> Option<Arc<RelayLink>> {
        let row = directory.nodes.get(node)?;
        let mut links = self.links.lock().unwrap_or_else(PoisonError::into_inner);
        let place = (node.clone(), lane);
        let link = links.get(&place).filter(|link| link.address() == row.peer);
        if let Some(link) = link {
            return Some(Arc::clone(link));
        }
        let link = RelayLink::new(row.peer, self.token.clone(), PEER_TIMEOUT_MS);
        let link = Arc::new(link);
        links.insert(place, Arc::clone(&link));
        Some(link)
    }

    /// Returns the links to all other nodes that are listed.
    pub(crate) fn others(&self, directory: &Directory) -> Vec<(NodeId, Arc<RelayLink>)> {
        let others = directory.nodes.keys().filter(|node| **node != self.own_id);
        others
            .filter_map(|node| Some((node.clone(), self.link(directory, node, RelayLane::News)?)))
            .collect()
    }
}
