//! Maintains a link to each listed node, and an exchange task for each neighbour.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use cuminlb_peer::{PeerLink, PeerToken};
use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use tokio_util::sync::CancellationToken;

use super::keyed_tasks::KeyedTasks;
use super::peer_exchange::exchange_statuses;
use crate::node::{FleetView, Node};

/// The number of peers with which a node regularly exchanges its status.
const MAX_NEIGHBOURS: usize = 8;

/// Runs a task for each neighbour, and maintains links to all listed nodes for calls on demand.
/// All tasks are joined before this returns.
pub async fn supervise_peers(node: Arc<Node>, stop: CancellationToken) {
    let mut view = node.view.subscribe();
    let mut tasks = KeyedTasks::new(stop.clone());
    loop {
        let listed = other_nodes(&node, &view.borrow_and_update());
        update_links(&node, &listed);
        let neighbours = choose_neighbours(&node, listed);
        tasks.set_keys(neighbours, |(peer, _), task_stop| {
            exchange_statuses(Arc::clone(&node), peer, task_stop)
        });
        tokio::select! {
            () = stop.cancelled() => break,
            changed = view.changed() => if changed.is_err() { break },
            () = tasks.join_next() => {}
        }
    }
    tasks.join_all().await;
}

/// Returns the live nodes in the platform's list without this one, with their addresses.
fn other_nodes(node: &Node, view: &FleetView) -> Vec<(NodeId, SocketAddr)> {
    let others = view.nodes().iter().filter(|(id, _)| id != node.id());
    others.map(|(id, record)| (id, record.address)).collect()
}

/// Opens a link to each node that is new or has moved to another address, and removes the links to
/// nodes that are no longer listed.
fn update_links(node: &Node, listed: &[(NodeId, SocketAddr)]) {
    let security = &node.settings.security;
    for (id, address) in listed {
        if node
            .peers
            .get(id)
            .is_some_and(|link| link.address() == *address)
        {
            continue;
        }
        let token = PeerToken::new(security.peer_token.clone().into_text());
        let link = PeerLink::new(*address, token, node.settings.control.peer_timeout_ms)
            .with_counts(Arc::clone(&node.metrics.peer_calls));
        node.peers.insert(id.clone(), Arc::new(link));
    }
    for (id, _) in node.peers.all() {
        if !listed.iter().any(|(node_id, _)| *node_id == id) {
            node.peers.remove(&id);
        }
    }
}

/// Returns the peers with which a node exchanges its status: the first by rendezvous rank, so that
/// their number does not grow with the number of nodes.
fn choose_neighbours(
    node: &Node,
    mut listed: Vec<(NodeId, SocketAddr)>,
) -> HashSet<(NodeId, SocketAddr)> {
    listed.sort_by_key(|(id, _)| std::cmp::Reverse(rendezvous_rank(node.id(), id)));
    listed.into_iter().take(MAX_NEIGHBOURS).collect()
}
