//! Tells one owner of groups which slots this node gives back and which it holds.

use std::sync::Arc;

use cuminlb_peer::{PeerLink, ReleasedSlot, RenewedGroup, SlotRelease, SlotRenewal};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::sync::mpsc;

use crate::node::Node;

/// The most news that go into one message.
const MAX_BATCH: usize = 256;

/// The most ranges that one renewal holds.
const MAX_RENEWED: usize = 64;

/// What an owner is told.
#[derive(Clone, Debug)]
pub(super) enum SlotNews {
    /// A slot is given back.
    Released(ReleasedSlot),
    /// The slots that are held at present.
    Held(Vec<RenewedGroup>),
}

/// Passes news on to an owner until there are no more to come.
pub(super) async fn report_to_owner(
    node: Arc<Node>,
    owner: NodeId,
    mut news: mpsc::Receiver<SlotNews>,
) {
    let mut batch = Vec::new();
    while news.recv_many(&mut batch, MAX_BATCH).await > 0 {
        let Some(link) = node.peers.get(&owner) else {
            node.holdings.forget_node(&owner);
            return;
        };
        let mut slots = Vec::new();
        let mut renewed = Vec::new();
        for item in batch.drain(..) {
            match item {
                SlotNews::Released(slot) => slots.push(slot),
                SlotNews::Held(groups) => renewed = groups,
            }
        }
        release(&node, &link, slots).await;
        for groups in renewed.chunks(MAX_RENEWED) {
            renew(&node, &owner, &link, groups).await;
        }
    }
}

async fn release(node: &Node, link: &PeerLink, slots: Vec<ReleasedSlot>) {
    if slots.is_empty() {
        return;
    }
    let holder = node.slot_holder();
    let release = SlotRelease { holder, slots };
    if let Err(error) = link.release_slots(release).await {
        debug!("slots were not given back, the next renewal makes up for it: {error}");
    }
}

async fn renew(node: &Node, owner: &NodeId, link: &PeerLink, groups: &[RenewedGroup]) {
    let renewal = SlotRenewal {
        holder: node.slot_holder(),
        groups: groups.to_vec(),
    };
    match link.renew_slots(renewal).await {
        Ok(answer) => {
            node.holdings.note_renewed(owner, groups);
            for group in &answer.not_owned {
                node.holdings.forget(owner, group);
                if node.owned.seen_owner(group).as_ref() == Some(owner) {
                    node.owned.forget_owner(group);
                }
            }
        }
        Err(error) => debug!("owner {owner} took in no renewal: {error}"),
    }
}
