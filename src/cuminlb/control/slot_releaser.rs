//! Gives slots back to their owners.

use std::sync::Arc;

use cuminlb_peer::SlotRelease;
use cuminlb_types::prelude::*;
use log::debug;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::node::Node;

/// Gives back each slot that it is told of, until `stop` is cancelled and none is left.
pub async fn release_slots(
    node: Arc<Node>,
    mut released: mpsc::UnboundedReceiver<(NodeId, SlotRelease)>,
    stop: CancellationToken,
) {
    loop {
        let (owner, release) = tokio::select! {
            biased;
            Some(next) = released.recv() => next,
            () = stop.cancelled() => return,
        };
        let Some(link) = node.peers.get(&owner) else {
            continue;
        };
        if let Err(error) = link.release_slot(release).await {
            debug!("a slot was not given back to {owner}: {error}");
        }
    }
}
