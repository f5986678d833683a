//! Converses with one peer.

use std::sync::Arc;

use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::config_store::pull_from_peer;
use crate::node::Node;

/// Exchanges statements with a peer once a period, and at once when the configuration changes.
pub(super) async fn converse(node: Arc<Node>, peer: NodeId, stop: CancellationToken) {
    let period = node.settings.control.poll_period_ms.duration();
    let mut view = node.view.subscribe();
    loop {
        let Some(link) = node.peers.get(&peer) else {
            return;
        };
        let config = view.borrow_and_update().config_version();
        let sent_at = Instant::now();
        match link.exchange(node.statement()).await {
            Ok(statement) => {
                node.take_answer(&peer, sent_at, &statement);
                if statement.config > config {
                    pull_from_peer(&node, &peer, &link).await;
                }
            }
            Err(error) => debug!("peer {peer}: {error}"),
        }
        let config_changed = view.wait_for(|view| view.config_version() > config);
        tokio::select! {
            () = stop.cancelled() => return,
            _ = config_changed => {}
            () = tokio::time::sleep(period) => {}
        }
    }
}
