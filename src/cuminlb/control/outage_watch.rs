//! Polls the other nodes for their status while the table is silent.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::debug;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Polls all listed nodes once per period while the table is silent for this node.
///
/// If the table is silent for a majority of them and these know no newer configuration, this node's
/// configuration and leases stay valid during the outage. Nothing is sent at other times.
pub async fn poll_peers_in_outage(node: Arc<Node>, stop: CancellationToken) {
    let period = node.freshness.bounds().pull_period_ms().duration();
    loop {
        let next_round_at = Instant::now() + period;
        if node.freshness.is_silent() {
            poll_peers(&node).await;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep_until(next_round_at) => {}
        }
    }
}

/// Polls every listed node once; each response counts as soon as it is received.
async fn poll_peers(node: &Node) {
    let listed = node.listed_nodes();
    let timeout = node.freshness.bounds().report_validity_ms.duration() / 2;
    extend_node_validity(node, &listed);
    let others = listed.iter().filter(|peer| *peer != node.id());
    join_all(others.map(|peer| poll_peer(node, peer, &listed, timeout))).await;
}

/// Requests one peer's status and stores it; the validity of this node may extend with it.
async fn poll_peer(node: &Node, peer: &NodeId, listed: &[NodeId], timeout: Duration) {
    let Some(link) = node.peers.get(peer) else {
        return;
    };
    let sent_at = Instant::now();
    match tokio::time::timeout(timeout, link.exchange(node.peer_status())).await {
        Ok(Ok(status)) => {
            node.handle_status_response(peer, sent_at, &status);
            extend_node_validity(node, listed);
        }
        Ok(Err(error)) => debug!("failed to get the status of peer {peer}: {error}"),
        Err(_elapsed) => debug!("timed out waiting for the status of peer {peer}"),
    }
}

fn extend_node_validity(node: &Node, listed: &[NodeId]) {
    let config = node.view.borrow().config_version();
    node.freshness.extend_validity(listed, config);
}
