//! Asks the other nodes for statements while the table is silent.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use log::debug;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Asks all listed nodes once a period while this node hears the table no longer, so that a
/// majority that hears it no longer either covers this node. Nothing is asked at other times.
pub async fn watch_outage(node: Arc<Node>, stop: CancellationToken) {
    let period = node.knowledge.bounds().pull_period_ms().duration();
    loop {
        let next = Instant::now() + period;
        if node.knowledge.is_silent() {
            pull_statements(&node).await;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep_until(next) => {}
        }
    }
}

/// Asks every listed node once; each answer counts as soon as it has come.
async fn pull_statements(node: &Node) {
    let listed = node.listed_nodes();
    let timeout = node.knowledge.bounds().report_validity_ms.duration() / 2;
    update_extension(node, &listed);
    let others = listed.iter().filter(|peer| *peer != node.id());
    join_all(others.map(|peer| pull_statement(node, peer, &listed, timeout))).await;
}

async fn pull_statement(node: &Node, peer: &NodeId, listed: &[NodeId], timeout: Duration) {
    let Some(link) = node.peers.get(peer) else {
        return;
    };
    let sent_at = Instant::now();
    match tokio::time::timeout(timeout, link.exchange(node.statement())).await {
        Ok(Ok(statement)) => {
            node.take_answer(peer, sent_at, &statement);
            update_extension(node, listed);
        }
        Ok(Err(error)) => debug!("peer {peer} makes no statement: {error}"),
        Err(_elapsed) => debug!("peer {peer} makes no statement in time"),
    }
}

fn update_extension(node: &Node, listed: &[NodeId]) {
    let config = node.view.borrow().config_version();
    node.knowledge.update_extension(listed, config);
}
