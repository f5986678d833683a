//! The entries of instances, including those that have vanished from the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::DepartedInstances;

/// How long an entry that vanished shortly after a failure of the store is still used. The store
/// removes the entries of instances whose heartbeats it could not receive, and the instances that
/// are alive write theirs again.
const LAPSE_GRACE: Duration = Duration::from_millis(1_800);

/// Time after a failure of the store in which vanished entries may come back.
const LAPSE_WINDOW: Duration = Duration::from_secs(6);

/// How long an instance whose entry has vanished still counts as a member of its group, unless it
/// turns out to be silent. It may only be partitioned from the store.
const UNLISTED_RETENTION: Duration = Duration::from_secs(15);

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
        entry.is_leaving |= self.has_drained(&entry);
        self.lapsed.remove(&entry.id);
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

    /// Handles the removal of an entry from the store.
    pub fn remove(&mut self, id: &InstanceId, now: Instant) {
        let is_recent = |at: Instant| now.duration_since(at) < LAPSE_WINDOW;
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

    /// Moves vanished entries whose use has expired to the unlisted ones, and removes unlisted
    /// entries that have expired. Returns whether there were any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let expired_lapsed = take_expired(&mut self.lapsed, now);
        let expired_unlisted = take_expired(&mut self.unlisted, now);
        for id in &expired_lapsed {
            self.unlisted.insert(id.clone(), now + UNLISTED_RETENTION);
        }
        for id in &expired_unlisted {
            self.depart(id, now);
        }
        self.departed.remove_expired(now);
        !expired_lapsed.is_empty() || !expired_unlisted.is_empty()
    }

    /// Returns the instances whose entries have vanished.
    pub fn unlisted(&self) -> BTreeSet<InstanceId> {
        self.unlisted.keys().cloned().collect()
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

    /// Returns whether the incarnation that wrote an entry is known to drain or to have drained.
    fn has_drained(&self, entry: &InstanceEntry) -> bool {
        let drains = self.entries.get(&entry.id).is_some_and(|known| {
            known.is_leaving
                && known.incarnation == entry.incarnation
                && entry.incarnation != Incarnation(0)
        });
        drains || self.departed.has_drained(&entry.id, entry.incarnation)
    }

    /// Removes an instance and records that it has left.
    fn depart(&mut self, id: &InstanceId, now: Instant) {
        self.cold_until.remove(id);
        self.lapsed.remove(id);
        self.unlisted.remove(id);
        if let Some(entry) = self.entries.remove(id) {
            self.departed
                .record(id.clone(), entry.incarnation, entry.is_leaving, now);
        }
    }
}

/// Removes and returns the instances whose time has expired.
fn take_expired(deadlines: &mut BTreeMap<InstanceId, Instant>, now: Instant) -> Vec<InstanceId> {
    let expired = deadlines.iter().filter(|(_, until)| now >= **until);
    let expired: Vec<InstanceId> = expired.map(|(id, _)| id.clone()).collect();
    deadlines.retain(|_, until| now < *until);
    expired
}
