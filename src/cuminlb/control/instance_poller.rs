//! Reads the platform's list of instances.

use std::sync::Arc;

use log::warn;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Reads the list once a period and keeps the newest revision.
pub async fn poll_instances(node: Arc<Node>, stop: CancellationToken) {
    let period = node.settings.control.poll_period_ms.duration();
    let mut known = None;
    loop {
        match node.instances.list(known).await {
            Ok(Some(listing)) if Some(listing.revision) > known => {
                known = Some(listing.revision);
                node.view
                    .send_modify(|view| view.listing = Arc::new(listing));
            }
            Ok(_) => {}
            Err(error) => warn!("the instance list can't be read: {error}"),
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(period) => {}
        }
    }
}
