//! Releases and renews the slots of this node, with one task for each owner of groups.

use std::collections::HashMap;
use std::sync::Arc;

use cuminlb_peer::{ReleasedSlot, RenewedGroup, SlotRenewal};
use cuminlb_types::prelude::*;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use super::slot_reporter::{SlotUpdate, send_updates};
use crate::node::{Node, SLOT_RENEWAL_PERIOD_MS};

/// The number of updates that may be queued for one owner; the next renewal covers any others.
const MAX_PENDING_UPDATES: usize = 4_096;

/// Releases each slot that it receives and renews the held slots once per renewal period, until
/// `stop` is cancelled. Each owner has its own task, so that one that does not respond delays no
/// other. All tasks are joined before this returns.
pub async fn release_slots(
    node: Arc<Node>,
    mut released: mpsc::UnboundedReceiver<(NodeId, ReleasedSlot)>,
    stop: CancellationToken,
) {
    let mut owners: HashMap<NodeId, mpsc::Sender<SlotUpdate>> = HashMap::new();
    let mut tasks = JoinSet::new();
    let mut renewal = interval(SLOT_RENEWAL_PERIOD_MS.duration());
    renewal.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = tasks.join_next() => {}
            Some((owner, slot)) = released.recv() => {
                send_update(&node, &mut owners, &mut tasks, owner, SlotUpdate::Released(slot));
            }
            _ = renewal.tick() => {
                for (owner, groups) in renewals(&node) {
                    send_update(&node, &mut owners, &mut tasks, owner, SlotUpdate::Held(groups));
                }
            }
        }
        owners.retain(|owner, _| node.peers.get(owner).is_some());
    }
    drop(owners);
    while tasks.join_next().await.is_some() {}
}

/// Applies the renewals for groups that this node owns, and returns those for other owners.
fn renewals(node: &Node) -> HashMap<NodeId, Vec<RenewedGroup>> {
    let mut renewals = node
        .slot_requests
        .renewals(|group| node.owned.known_owner(group));
    if let Some(groups) = renewals.remove(node.id()) {
        let renewal = SlotRenewal {
            holder: node.slot_holder(),
            groups,
        };
        let response = node.handle_renewal(&renewal);
        for group in &response.not_owned {
            node.slot_requests.remove_owner(node.id(), group);
        }
        node.slot_requests
            .record_renewed(node.id(), &renewal.groups);
    }
    renewals
}

/// Queues an update for an owner, and starts the task of the owner if there is none.
fn send_update(
    node: &Arc<Node>,
    owners: &mut HashMap<NodeId, mpsc::Sender<SlotUpdate>>,
    tasks: &mut JoinSet<()>,
    owner: NodeId,
    update: SlotUpdate,
) {
    if node.peers.get(&owner).is_none() {
        node.slot_requests.remove_node(&owner);
        return;
    }
    let sender = owners.entry(owner.clone()).or_insert_with(|| {
        let (sender, receiver) = mpsc::channel(MAX_PENDING_UPDATES);
        tasks.spawn(send_updates(Arc::clone(node), owner, receiver));
        sender
    });
    // An update that is dropped because the queue is full is covered by the next renewal.
    let _ = sender.try_send(update);
}
