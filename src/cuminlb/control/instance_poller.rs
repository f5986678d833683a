//! Polls the platform's list of instances.

use std::sync::Arc;

use log::warn;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Reads the list once per poll period and keeps the newest revision in the node's view.
pub async fn poll_instances(node: Arc<Node>, stop: CancellationToken) {
    let period = node.settings.control.poll_period_ms.duration();
    let mut known_revision = None;
    loop {
        match node.instances.list(known_revision).await {
            Ok(Some(listing)) if Some(listing.revision) > known_revision => {
                known_revision = Some(listing.revision);
                node.view
                    .send_modify(|view| view.listing = Arc::new(listing));
            }
            Ok(_) => {}
            Err(error) => warn!("failed to read the instance list: {error}"),
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(period) => {}
        }
    }
}
