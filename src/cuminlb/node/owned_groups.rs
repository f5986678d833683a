//! The groups that this node owns with their slot ledgers, and the known owners of other groups.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_routing::{HeldRange, ReleaseReason, SlotHolder, SlotId, SlotLedger, SlotTiming};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::OwnedGroup;

/// The groups that this node owns, and the last known owners of other groups.
#[derive(Debug)]
pub struct OwnedGroups {
    timing: SlotTiming,
    owned: Mutex<Owned>,
    known_owners: Mutex<HashMap<GroupId, NodeId>>,
}

#[derive(Debug, Default)]
struct Owned {
    groups: HashMap<GroupId, Arc<OwnedGroup>>,
    /// The ledgers of groups that this node has stopped owning, each with the time by which its
    /// last request has certainly ended.
    closed: HashMap<GroupId, (SlotLedger, Instant)>,
}

impl OwnedGroups {
    /// Starts without any group.
    pub fn new(timing: SlotTiming) -> Self {
        Self {
            timing,
            owned: Mutex::default(),
            known_owners: Mutex::default(),
        }
    }

    /// Starts to own a group, or continues with it at another epoch.
    ///
    /// The requests of the previous epoch still count as long as the fencing number of the lease is
    /// the same; `prior_holder_idle` states that the previous owner left none in flight.
    pub fn insert(&self, group: Arc<OwnedGroup>, prior_holder_idle: bool) {
        let mut owned = lock(&self.owned);
        let now = Instant::now();
        owned.close(&group.record.id, self.timing, now);
        owned.closed.retain(|_, (_, ends_by)| *ends_by > now);
        let fencing = group.lease().fencing;
        let closed = owned.closed.remove(&group.record.id);
        let ledger = match closed {
            Some((mut ledger, _)) if ledger.fencing() == fencing => {
                ledger.set_epoch(group.record.epoch);
                ledger
            }
            _ if prior_holder_idle => {
                SlotLedger::after_idle_owner(fencing, group.record.epoch, self.timing)
            }
            _ => SlotLedger::new(fencing, group.record.epoch, self.timing, now),
        };
        group.open_ledger(ledger);
        owned.groups.insert(group.record.id.clone(), group);
    }

    /// Stops owning a group; returns whether it was owned and has no request in flight.
    pub fn remove(&self, group: &GroupId) -> bool {
        lock(&self.owned).close(group, self.timing, Instant::now())
    }

    /// Returns a group that this node owns.
    pub fn get(&self, group: &GroupId) -> Option<Arc<OwnedGroup>> {
        lock(&self.owned).groups.get(group).cloned()
    }

    /// Returns all groups that this node owns.
    pub fn all(&self) -> Vec<Arc<OwnedGroup>> {
        lock(&self.owned).groups.values().cloned().collect()
    }

    /// Releases a slot and wakes the request that has waited longest.
    pub fn release(&self, group: &GroupId, slot: &SlotId, end: ReleaseReason) {
        self.update_ledger(group, |ledger| ledger.release(slot, end, Instant::now()));
    }

    /// Reconciles the ledger with the slots that a node reports as held; returns `false` where this
    /// node has no ledger of the group.
    pub fn reconcile(&self, group: &GroupId, holder: &SlotHolder, range: &HeldRange) -> bool {
        self.update_ledger(group, |ledger| {
            ledger.reconcile(holder, range, Instant::now());
        })
    }

    /// Records the holder of a group's lease.
    pub fn record_owner(&self, group: &GroupId, owner: NodeId) {
        lock(&self.known_owners).insert(group.clone(), owner);
    }

    /// Returns the last known holder of a group's lease.
    pub fn known_owner(&self, group: &GroupId) -> Option<NodeId> {
        lock(&self.known_owners).get(group).cloned()
    }

    /// Removes the last known owner of a group, because that node does not own it.
    pub fn remove_owner(&self, group: &GroupId) {
        lock(&self.known_owners).remove(group);
    }

    /// Applies `update` to the open or closed ledger of a group; returns whether there is one.
    fn update_ledger(&self, group: &GroupId, update: impl FnOnce(&mut SlotLedger)) -> bool {
        let mut owned = lock(&self.owned);
        if let Some(open) = owned.groups.get(group) {
            open.with_ledger(update);
            open.changed.notify_one();
            return true;
        }
        let closed = owned.closed.get_mut(group);
        let has_closed = closed.is_some();
        if let Some((ledger, _)) = closed {
            update(ledger);
        }
        has_closed
    }
}

impl Owned {
    /// Closes the ledger of a group and keeps it; returns whether the group was open and idle.
    fn close(&mut self, group: &GroupId, timing: SlotTiming, now: Instant) -> bool {
        let open = self.groups.remove(group);
        let Some(ledger) = open.and_then(|open| open.close_ledger()) else {
            return false;
        };
        let is_idle = ledger.is_idle();
        let ends_by = now + (timing.max_send_ms + timing.max_request_ms).duration();
        self.closed.insert(group.clone(), (ledger, ends_by));
        is_idle
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
