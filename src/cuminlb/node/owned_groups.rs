//! [`OwnedGroups`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_routing::{HeldRange, SlotEnd, SlotHolder, SlotId, SlotLedger, SlotTerms};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::OwnedGroup;

/// The groups that this node owns, and the owners of others that it has seen.
#[derive(Debug)]
pub struct OwnedGroups {
    terms: SlotTerms,
    owned: Mutex<Owned>,
    known_owners: Mutex<HashMap<GroupId, NodeId>>,
}

#[derive(Debug, Default)]
struct Owned {
    groups: HashMap<GroupId, Arc<OwnedGroup>>,
    /// The ledgers of groups that do not serve at present, each with the time at which its last
    /// request has certainly ended.
    closed: HashMap<GroupId, (SlotLedger, Instant)>,
}

impl OwnedGroups {
    /// Owns nothing yet.
    pub fn new(terms: SlotTerms) -> Self {
        Self {
            terms,
            owned: Mutex::default(),
            known_owners: Mutex::default(),
        }
    }

    /// Starts to own a group, or goes on with it at another epoch.
    ///
    /// The requests of the epoch before go on counting for as long as the lease is the same;
    /// `prior_holder_idle` tells that the owner before left none under way.
    pub fn insert(&self, group: Arc<OwnedGroup>, prior_holder_idle: bool) {
        let mut owned = lock(&self.owned);
        let now = Instant::now();
        owned.close(&group.record.id, self.terms, now);
        owned.closed.retain(|_, (_, ends_by)| *ends_by > now);
        let fencing = group.lease().fencing;
        let kept = owned.closed.remove(&group.record.id);
        let ledger = match kept {
            Some((mut ledger, _)) if ledger.fencing() == fencing => {
                ledger.set_epoch(group.record.epoch);
                ledger
            }
            _ if prior_holder_idle => {
                SlotLedger::after_idle_owner(fencing, group.record.epoch, self.terms)
            }
            _ => SlotLedger::new(fencing, group.record.epoch, self.terms, now),
        };
        group.open_ledger(ledger);
        owned.groups.insert(group.record.id.clone(), group);
    }

    /// Ends the owning of a group; returns whether it was owned and nothing is under way.
    pub fn remove(&self, group: &GroupId) -> bool {
        lock(&self.owned).close(group, self.terms, Instant::now())
    }

    /// Returns a group that this node owns.
    pub fn get(&self, group: &GroupId) -> Option<Arc<OwnedGroup>> {
        lock(&self.owned).groups.get(group).cloned()
    }

    /// Returns all groups that this node owns.
    pub fn all(&self) -> Vec<Arc<OwnedGroup>> {
        lock(&self.owned).groups.values().cloned().collect()
    }

    /// Takes a slot back and lets the ask that waits longest try for it.
    pub fn release(&self, group: &GroupId, slot: &SlotId, end: SlotEnd) {
        self.change(group, |ledger| ledger.release(slot, end, Instant::now()));
    }

    /// Takes in what a node says that it holds; returns `false` where the group is not owned.
    pub fn reconcile(&self, group: &GroupId, holder: &SlotHolder, range: &HeldRange) -> bool {
        self.change(group, |ledger| {
            ledger.reconcile(holder, range, Instant::now());
        })
    }

    /// Notes the holder of a group's lease.
    pub fn note_owner(&self, group: &GroupId, owner: NodeId) {
        lock(&self.known_owners).insert(group.clone(), owner);
    }

    /// Returns the holder of a group's lease as last seen.
    pub fn seen_owner(&self, group: &GroupId) -> Option<NodeId> {
        lock(&self.known_owners).get(group).cloned()
    }

    /// Forgets an owner that turned out to be none.
    pub fn forget_owner(&self, group: &GroupId) {
        lock(&self.known_owners).remove(group);
    }

    fn change(&self, group: &GroupId, change: impl FnOnce(&mut SlotLedger)) -> bool {
        let mut owned = lock(&self.owned);
        if let Some(open) = owned.groups.get(group) {
            open.with_ledger(change);
            open.changed.notify_one();
            return true;
        }
        let closed = owned.closed.get_mut(group);
        let is_kept = closed.is_some();
        if let Some((ledger, _)) = closed {
            change(ledger);
        }
        is_kept
    }
}

impl Owned {
    fn close(&mut self, group: &GroupId, terms: SlotTerms, now: Instant) -> bool {
        let open = self.groups.remove(group);
        let Some(ledger) = open.and_then(|open| open.close_ledger()) else {
            return false;
        };
        let is_idle = ledger.is_idle();
        let ends_by = now + (terms.max_send_ms + terms.max_request_ms).duration();
        self.closed.insert(group.clone(), (ledger, ends_by));
        is_idle
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
