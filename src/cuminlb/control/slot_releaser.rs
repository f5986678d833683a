//! Keeps one task for each owner of which this node holds slots.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlb_peer::{ReleasedSlot, RenewedGroup, SlotRenewal};
use cuminlb_types::prelude::*;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::slot_reporter::{SlotNews, report_to_owner};
use crate::node::{Node, SLOT_RENEWAL_PERIOD_MS};

/// The news that may wait for one owner; what is above is left to the next renewal.
const MAX_WAITING_NEWS: usize = 4_096;

/// Gives back each slot that it is told of and renews the held slots once a period, until `stop`
/// is cancelled. Each owner has a task, so that one that does not answer delays no other. All
/// tasks are joined before this returns.
pub async fn release_slots(
    node: Arc<Node>,
    mut released: mpsc::UnboundedReceiver<(NodeId, ReleasedSlot)>,
    stop: CancellationToken,
) {
    let mut owners: HashMap<NodeId, mpsc::Sender<SlotNews>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut renewal = interval(SLOT_RENEWAL_PERIOD_MS.duration());
    renewal.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = tasks.join_next() => {}
            Some((owner, slot)) = released.recv() => {
                tell(&node, &mut owners, &mut tasks, owner, SlotNews::Released(slot));
            }
            _ = renewal.tick() => {
                for (owner, groups) in renewals(&node) {
                    tell(&node, &mut owners, &mut tasks, owner, SlotNews::Held(groups));
                }
            }
        }
        owners.retain(|owner, _| node.peers.get(owner).is_some());
    }
    drop(owners);
    while tasks.join_next().await.is_some() {}
}

/// Takes in the renewals of this node's own groups and returns those for other owners.
fn renewals(node: &Node) -> HashMap<NodeId, Vec<RenewedGroup>> {
    let mut renewals = node.holdings.renewals(|group| node.owned.seen_owner(group));
    if let Some(groups) = renewals.remove(node.id()) {
        let renewal = SlotRenewal {
            holder: node.slot_holder(),
            groups,
        };
        let answer = node.handle_renewal(&renewal);
        for group in &answer.not_owned {
            node.holdings.forget(node.id(), group);
        }
        node.holdings.note_renewed(node.id(), &renewal.groups);
    }
    renewals
}

fn tell(
    node: &Arc<Node>,
    owners: &mut HashMap<NodeId, mpsc::Sender<SlotNews>>,
    tasks: &mut JoinSet<()>,
    owner: NodeId,
    news: SlotNews,
) {
    if node.peers.get(&owner).is_none() {
        node.holdings.forget_node(&owner);
        return;
    }
    let sender = owners.entry(owner.clone()).or_insert_with(|| {
        let (sender, receiver) = mpsc::channel(MAX_WAITING_NEWS);
        tasks.spawn(report_to_owner(Arc::clone(node), owner, receiver));
        sender
    });
    // What finds no room is made up for by the next renewal.
    let _ = sender.try_send(news);
}
