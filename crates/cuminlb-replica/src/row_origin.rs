//! The choice between following the store and following a peer.

use std::sync::Arc;

use cuminlb_peer::RelayLink;
use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use tokio::time::Instant;

use super::failed_peers::FailedPeers;
use crate::gateway::Gateway;
use crate::leading::current_leader;

/// Number of nodes for each one that follows the store itself and serves the others.
const NODES_PER_STORE_FOLLOWER: usize = 12;

/// Minimum number of nodes that follow the store themselves.
const MIN_STORE_FOLLOWERS: usize = 2;

/// Key by which rendezvous hashing selects the nodes that follow the store.
const RENDEZVOUS_KEY: &str = "store followers";

/// Where a node reads changes from.
#[derive(Clone, Debug)]
pub(super) enum RowOrigin {
    /// The platform's store.
    Store,
    /// A node that follows the store.
    Peer(NodeId, Arc<RelayLink>),
}

impl RowOrigin {
    /// Chooses where this node reads changes from now. A few nodes and the leader follow the store.
    /// The others follow one of these few that has not failed them recently, or else the store.
    pub(super) fn choose(gateway: &Gateway, failed_peers: &FailedPeers, now: Instant) -> Self {
        let own_id = &gateway.settings.id;
        if current_leader(&gateway.knowledge).as_ref() == Some(own_id) {
            return Self::Store;
        }
        let directory = gateway.knowledge.directory();
        let mut nodes: Vec<&NodeId> = directory.nodes.keys().collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(rendezvous_rank(&RENDEZVOUS_KEY, node)));
        nodes.truncate((nodes.len() / NODES_PER_STORE_FOLLOWER).max(MIN_STORE_FOLLOWERS));
        if nodes.contains(&own_id) {
            return Self::Store;
        }
        // Each node has its own order, so that the load of the other nodes is spread over the
        // followers.
        nodes.sort_by_key(|node| rendezvous_rank(own_id, node));
        let mut usable = nodes
            .into_iter()
            .filter(|node| !failed_peers.has_failed(node, now));
        let peer = usable.find_map(|node| {
            let link = gateway.peers.link(&directory, node)?;
            Some(Self::Peer(node.clone(), link))
        });
        peer.unwrap_or(Self::Store)
    }
}
