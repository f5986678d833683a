//! Exchanges status with one peer.

use std::sync::Arc;

use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::config_store::fetch_config_from_peer;
use crate::node::Node;

/// Exchanges status with a peer once per poll period, and immediately when the configuration of
/// this node changes. Fetches the peer's configuration if it is newer.
pub(super) async fn exchange_statuses(node: Arc<Node>, peer: NodeId, stop: CancellationToken) {
    let period = node.settings.control.poll_period_ms.duration();
    let mut view = node.view.subscribe();
    loop {
        let Some(link) = node.peers.get(&peer) else {
            return;
        };
        let config = view.borrow_and_update().config_version();
        let sent_at = Instant::now();
        match link.exchange(node.peer_status()).await {
            Ok(status) => {
                node.handle_status_response(&peer, sent_at, &status);
                if status.config > config {
                    fetch_config_from_peer(&node, &peer, &link).await;
                }
            }
            Err(error) => debug!("failed to exchange status with peer {peer}: {error}"),
        }
        let config_changed = view.wait_for(|view| view.config_version() > config);
        tokio::select! {
            () = stop.cancelled() => return,
            _ = config_changed => {}
            () = tokio::time::sleep(period) => {}
        }
    }
}
