//! Sends one owner the slots of its groups that this node releases, and those that it holds.

use std::sync::Arc;

use cuminlb_peer::{PeerLink, ReleasedSlot, RenewedGroup, SlotRelease, SlotRenewal};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::sync::mpsc;

use crate::node::Node;

/// The maximum number of updates that are sent together.
const MAX_BATCH_UPDATES: usize = 256;

/// The maximum number of ranges in one renewal message.
const MAX_RENEWED_RANGES: usize = 64;

/// An update for the owner of a group.
#[derive(Clone, Debug)]
pub(super) enum SlotUpdate {
    /// A slot is released.
    Released(ReleasedSlot),
    /// The slots that are currently held.
    Held(Vec<RenewedGroup>),
}

/// Sends updates to an owner until the channel is closed or the owner is no longer listed.
pub(super) async fn send_updates(
    node: Arc<Node>,
    owner: NodeId,
    mut updates: mpsc::Receiver<SlotUpdate>,
) {
    let mut batch = Vec::new();
    while updates.recv_many(&mut batch, MAX_BATCH_UPDATES).await > 0 {
        let Some(link) = node.peers.get(&owner) else {
            node.slot_requests.remove_node(&owner);
            return;
        };
        let mut slots = Vec::new();
        let mut renewed = Vec::new();
        for update in batch.drain(..) {
            match update {
                SlotUpdate::Released(slot) => slots.push(slot),
                SlotUpdate::Held(groups) => renewed = groups,
            }
        }
        send_release(&node, &link, slots).await;
        for groups in renewed.chunks(MAX_RENEWED_RANGES) {
            send_renewal(&node, &owner, &link, groups).await;
        }
    }
}

async fn send_release(node: &Node, link: &PeerLink, slots: Vec<ReleasedSlot>) {
    if slots.is_empty() {
        return;
    }
    let holder = node.slot_holder();
    let release = SlotRelease { holder, slots };
    if let Err(error) = link.release_slots(release).await {
        debug!("failed to release slots; the next renewal will cover them: {error}");
    }
}

/// Renews held slots at an owner, and removes the owner from the groups that it does not own.
async fn send_renewal(node: &Node, owner: &NodeId, link: &PeerLink, groups: &[RenewedGroup]) {
    let renewal = SlotRenewal {
        holder: node.slot_holder(),
        groups: groups.to_vec(),
    };
    match link.renew_slots(renewal).await {
        Ok(response) => {
            node.slot_requests.record_renewed(owner, groups);
            for group in &response.not_owned {
                node.slot_requests.remove_owner(owner, group);
                if node.owned.known_owner(group).as_ref() == Some(owner) {
                    node.owned.remove_owner(group);
                }
            }
        }
        Err(error) => debug!("failed to renew slots at owner {owner}: {error}"),
    }
}
