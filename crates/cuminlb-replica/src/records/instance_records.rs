//! The entries of instances, including those that have vanished from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{DepartedInstances, LeavingInstances};

/// How long an entry that vanished shortly after a failure of the store is still used. The store
/// removes the entries of instances whose heartbeats it could not receive, and the instances that
/// are alive write theirs again.
const LAPSE_GRACE: Duration = Duration::from_millis(1_800);

/// Time after a failure of the store in which vanished entries may come back.
const LAPSE_WINDOW: Duration = Duration::from_secs(6);

/// How long an instance whose entry has vanished still counts as a member of its group, unless it
/// turns out to be silent. It may only be partitioned from the store.
const UNLISTED_RETENTION: Duration = Duration::from_secs(15);

/// An entry that is not used until a time.
#[derive(Debug)]
struct WithheldEntry {
    entry: InstanceEntry,
    until: Instant,
}

/// The entries of instances.
#[derive(Debug, Default)]
pub struct InstanceRecords {
    entries: BTreeMap<InstanceId, Arc<InstanceEntry>>,
    /// Until when each instance is cold.
    cold_until: BTreeMap<InstanceId, Instant>,
    /// Entries that vanished and may come back, with the time until which they are used.
    lapsed: BTreeMap<InstanceId, Instant>,
    /// Entries that vanished, with the time until which they are kept as members of their groups.
    unlisted: BTreeMap<InstanceId, Instant>,
    departed: DepartedInstances,
    /// The incarnations that leave, as their entries or they themselves have said.
    leaving: LeavingInstances,
    /// Entries of the copy that the store was restored from whose instances are known to have left.
    withheld: BTreeMap<InstanceId, WithheldEntry>,
    store_failed_at: Option<Instant>,
}

impl InstanceRecords {
    /// Records that the store can't be reached.
    pub fn record_store_failure(&mut self, now: Instant) {
        self.store_failed_at = Some(now);
    }

    /// Stores the entry of an instance. Returns whether more than its heartbeat has changed, or the
    /// entry was unlisted before.
    ///
    /// An instance that drains is never ready again in the same incarnation.
    pub fn put(&mut self, mut entry: InstanceEntry, now: Instant) -> bool {
        // An instance without a start can't be told apart from its next incarnation.
        if entry.is_leaving && entry.incarnation != Incarnation(0) {
            self.leaving.record(&entry.id, entry.incarnation, now);
        }
        entry.is_leaving |= self.leaving.contains(&entry.id, entry.incarnation);
        self.lapsed.remove(&entry.id);
        self.withheld.remove(&entry.id);
        let was_unlisted = self.unlisted.remove(&entry.id).is_some();
        let is_same = self.entries.get(&entry.id).is_some_and(|known| {
            InstanceEntry {
                orders: known.orders,
                ..entry.clone()
            } == **known
        });
        if !is_same {
            self.cold_until
                .insert(entry.id.clone(), now + entry.cold_remaining_ms.duration());
        }
        self.entries.insert(entry.id.clone(), Arc::new(entry));
        !is_same || was_unlisted
    }

    /// Records that an incarnation of an instance has stated that it leaves, whatever its entry says.
    /// Returns whether that is news about an entry.
    pub fn record_leaving(
        &mut self,
        id: &InstanceId,
        incarnation: Incarnation,
        now: Instant,
    ) -> bool {
        self.leaving.record(id, incarnation, now);
        let entry = self.entries.get_mut(id);
        let entry = entry.filter(|it| it.incarnation == incarnation && !it.is_leaving);
        let is_news = entry.is_some();
        if let Some(entry) = entry {
            Arc::make_mut(entry).is_leaving = true;
        }
        is_news
    }

    /// Handles the removal of an entry from the store.
    pub fn remove(&mut self, id: &InstanceId, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < LAPSE_WINDOW;
        self.withheld.remove(id);
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if entry.is_leaving {
            self.depart(id, now);
        } else if self.store_failed_at.is_some_and(is_recent) {
            self.lapsed.entry(id.clone()).or_insert(now + LAPSE_GRACE);
        } else {
            self.unlisted.insert(id.clone(), now + UNLISTED_RETENTION);
        }
    }

    /// Records that the store was restored from a copy. Instances whose heartbeats it could not
    /// receive meanwhile write their entries again.
    pub fn record_restoration(&mut self, now: Instant) {
        self.record_store_failure(now);
    }

    /// Handles an entry of a restored table, which stems from the copy or was written since. Returns
    /// whether more than a heartbeat has changed.
    ///
    /// A known entry of a later start, or with more orders, is kept. At a tie the listed entry
    /// holds, as draining, cold starts and the ends of joins are no orders; but an instance never
    /// stops draining or becomes warm by it. An instance that is known to have left is withheld
    /// until it writes again or has been listed for long.
    pub fn restore(&mut self, entry: InstanceEntry, now: Instant) -> bool {
        let id = entry.id.clone();
        if let Some(until) = self.withheld_until(&entry, now) {
            let withheld = self.withheld.remove(&id);
            let until = withheld.map_or(until, |withheld| withheld.until.min(until));
            self.withheld.insert(id, WithheldEntry { entry, until });
            return false;
        }
        let order = |entry: &InstanceEntry| (entry.incarnation, entry.orders);
        let known = self.entries.get(&id);
        if known.is_some_and(|known| order(known) > order(&entry)) {
            self.lapsed.remove(&id);
            return false;
        }
        let is_same_start = known.is_some_and(|known| known.incarnation == entry.incarnation);
        let known_cold_until = self.cold_until.get(&id).copied().filter(|_| is_same_start);
        let is_changed = self.put(entry, now);
        if let Some(known) = known_cold_until {
            let cold_until = self.cold_until.entry(id).or_insert(known);
            *cold_until = known.max(*cold_until);
        }
        is_changed
    }

    /// Handles an instance that the copy lacks. If it is alive, it writes its entry again.
    pub fn restore_absence(&mut self, id: &InstanceId, now: Instant) {
        self.withheld.remove(id);
        if self.entries.contains_key(id) && !self.unlisted.contains_key(id) {
            self.lapsed.entry(id.clone()).or_insert(now + LAPSE_GRACE);
        }
    }

    /// Moves vanished entries whose use has expired to the unlisted ones, removes unlisted entries
    /// that have expired, and uses entries that were withheld for long. Returns whether there were
    /// any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let expired_lapsed = take_expired(&mut self.lapsed, now, |until| *until);
        let expired_unlisted = take_expired(&mut self.unlisted, now, |until| *until);
        for (id, _) in &expired_lapsed {
            if self.entries.get(id).is_some_and(|entry| entry.is_leaving) {
                self.depart(id, now);
            } else {
                self.unlisted.insert(id.clone(), now + UNLISTED_RETENTION);
            }
        }
        for (id, _) in &expired_unlisted {
            self.depart(id, now);
        }
        self.departed.remove_expired(now);
        let is_listed = |id: &InstanceId, incarnation| {
            let entry = self.entries.get(id);
            entry.is_some_and(|entry| entry.incarnation == incarnation)
        };
        self.leaving.remove_expired(is_listed, now);
        let listed_long = take_expired(&mut self.withheld, now, |withheld| withheld.until);
        let is_changed =
            !(expired_lapsed.is_empty() && expired_unlisted.is_empty() && listed_long.is_empty());
        for (id, withheld) in listed_long {
            self.leaving.remove(&id);
            self.put(withheld.entry, now);
        }
        is_changed
    }

    /// Returns the instances whose entries have vanished.
    pub fn unlisted(&self) -> BTreeSet<InstanceId> {
        self.unlisted.keys().cloned().collect()
    }

    /// Returns the instances whose entries vanished in an outage, with the time until which they are
    /// used.
    pub const fn lapsed(&self) -> &BTreeMap<InstanceId, Instant> {
        &self.lapsed
    }

    /// Returns the entries.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<InstanceEntry>> {
        self.entries.values()
    }

    /// Returns the instances that are cold, and until when.
    pub fn cold_until(&self, now: Instant) -> BTreeMap<InstanceId, Instant> {
        let cold = self.cold_until.iter().filter(|(_, until)| **until > now);
        cold.map(|(id, until)| (id.clone(), *until)).collect()
    }

    /// Returns until when a listed entry is not used, because the instance is known to have vanished
    /// or to have drained since.
    fn withheld_until(&self, entry: &InstanceEntry, now: Instant) -> Option<Instant> {
        let id = &entry.id;
        let has_vanished = self.unlisted.contains_key(id);
        let known = self.entries.get(id).filter(|_| has_vanished);
        if known.is_some_and(|known| entry.incarnation <= known.incarnation) {
            return Some(now + UNLISTED_RETENTION);
        }
        self.departed.known_until(id, entry.incarnation)
    }

    /// Removes an instance, and records that it has left if it had drained.
    fn depart(&mut self, id: &InstanceId, now: Instant) {
        self.cold_until.remove(id);
        self.lapsed.remove(id);
        self.unlisted.remove(id);
        if let Some(entry) = self.entries.remove(id) {
            if entry.is_leaving {
                self.departed.record(id.clone(), entry.incarnation, now);
            }
            if entry.incarnation == Incarnation(0) {
                self.leaving.remove(id);
            }
        }
    }
}

/// Removes and returns the instances whose time has expired.
fn take_expired<T>(
    instances: &mut BTreeMap<InstanceId, T>,
    now: Instant,
    until: impl Fn(&T) -> Instant,
) -> Vec<(InstanceId, T)> {
    instances
        .extract_if(.., |_, value| now >= until(value))
        .collect()
}
