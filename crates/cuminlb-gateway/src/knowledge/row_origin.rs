//! [`RowOrigin`].

use std::sync::Arc;

use cuminlb_peer::RelayLink;
use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use tokio::time::Instant;

use super::feed_peers::FeedPeers;
use crate::gateway::Gateway;
use crate::leading::current_leader;

/// The nodes of which one follows the store itself, so that the others can follow it.
const NODES_PER_FOLLOWER: usize = 12;

/// The fewest nodes that follow the store themselves.
const MIN_FOLLOWERS: usize = 2;

/// What the nodes that follow the store are drawn by.
const DRAW_KEY: &str = "store followers";

/// Where a node hears of changes.
#[derive(Clone, Debug)]
pub(super) enum RowOrigin {
    /// The platform's store.
    Store,
    /// A node that follows the store.
    Peer(NodeId, Arc<RelayLink>),
}

impl RowOrigin {
    /// Chooses where this node hears of changes now. A few nodes and the leader follow the store;
    /// the others follow one of the few that has not failed them lately, or the store.
    pub(super) fn choose(gateway: &Gateway, failed: &FeedPeers, now: Instant) -> Self {
        let own = &gateway.settings.id;
        if current_leader(&gateway.knowledge).as_ref() == Some(own) {
            return Self::Store;
        }
        let directory = gateway.knowledge.directory();
        let mut nodes: Vec<&NodeId> = directory.nodes.keys().collect();
        nodes.sort_by_key(|node| std::cmp::Reverse(rendezvous_rank(&DRAW_KEY, node)));
        nodes.truncate((nodes.len() / NODES_PER_FOLLOWER).max(MIN_FOLLOWERS));
        if nodes.contains(&own) {
            return Self::Store;
        }
        // Each node has an order of its own, so that the followers share the others.
        nodes.sort_by_key(|node| rendezvous_rank(own, node));
        let mut usable = nodes
            .into_iter()
            .filter(|node| !failed.has_failed(node, now));
        let peer = usable.find_map(|node| {
            let link = gateway.peers.link(&directory, node)?;
            Some(Self::Peer(node.clone(), link))
        });
        peer.unwrap_or(Self::Store)
    }
}
