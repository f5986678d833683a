//! Keeps one link and one task for each peer.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;

use cuminlb_peer::{PeerLink, PeerToken};
use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::peer_task::converse;
use crate::node::{FleetView, Node};

/// The number of peers with which a node exchanges statements on its own account.
const NEIGHBOURS: usize = 8;

/// Starts a task for each neighbour, and keeps links to all nodes for calls on demand. All tasks
/// are joined before this returns.
pub async fn supervise_peers(node: Arc<Node>, stop: CancellationToken) {
    let mut view = node.view.subscribe();
    let mut running: HashMap<(NodeId, SocketAddr), CancellationToken> = HashMap::new();
    let mut tasks = JoinSet::new();
    loop {
        let listed = other_nodes(&node, &view.borrow_and_update());
        update_links(&node, &listed);
        let wanted = neighbours(&node, listed);
        running.retain(|peer, task_stop| {
            let keep = wanted.contains(peer);
            if !keep {
                task_stop.cancel();
            }
            keep
        });
        for peer in wanted {
            running.entry(peer.clone()).or_insert_with(|| {
                let task_stop = stop.child_token();
                tasks.spawn(converse(Arc::clone(&node), peer.0, task_stop.clone()));
                task_stop
            });
        }
        tokio::select! {
            () = stop.cancelled() => break,
            changed = view.changed() => if changed.is_err() { break },
            Some(_) = tasks.join_next() => {}
        }
    }
    while tasks.join_next().await.is_some() {}
}

fn other_nodes(node: &Node, view: &FleetView) -> Vec<(NodeId, SocketAddr)> {
    let others = view.nodes().iter().filter(|(id, _)| id != node.id());
    others.map(|(id, record)| (id, record.address)).collect()
}

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
        let token = PeerToken::new(security.peer_token.clone());
        let link = PeerLink::new(*address, token, node.settings.control.peer_timeout_ms)
            .counted_by(Arc::clone(&node.metrics.peer_calls));
        node.peers.insert(id.clone(), Arc::new(link));
    }
    for (id, _) in node.peers.all() {
        if !listed.iter().any(|(listed, _)| *listed == id) {
            node.peers.remove(&id);
        }
    }
}

/// Returns the peers that a node converses with: the first by rank, so that the number does not
/// grow with the number of nodes.
fn neighbours(node: &Node, mut listed: Vec<(NodeId, SocketAddr)>) -> HashSet<(NodeId, SocketAddr)> {
    listed.sort_by_key(|(id, _)| std::cmp::Reverse(rendezvous_rank(node.id(), id)));
    listed.into_iter().take(NEIGHBOURS).collect()
}
