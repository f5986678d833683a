//! [`InstanceRecords`].

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long an entry that vanished just after trouble of the store is still used. The store
/// removes entries of instances that it could not hear, and those that live write theirs anew.
const LAPSE_GRACE: Duration = Duration::from_millis(1_800);

/// The time after trouble of the store in which vanished entries may come back.
const LAPSE_WINDOW: Duration = Duration::from_secs(6);

/// How long an instance whose entry vanished still counts as a member of its group, unless it
/// turns out to be silent: it may only be cut off from the store.
const UNLISTED_KEEP: Duration = Duration::from_secs(15);

/// The entries of instances.
#[derive(Debug, Default)]
pub(crate) struct InstanceRecords {
    entries: BTreeMap<InstanceId, InstanceEntry>,
    /// Until when instances are cold.
    cold_until: BTreeMap<InstanceId, Instant>,
    /// Entries that vanished and may come back, with the end of their use.
    lapsed: BTreeMap<InstanceId, Instant>,
    /// Entries that vanished, and until when they are kept as members of their groups.
    unlisted: BTreeMap<InstanceId, Instant>,
    trouble_at: Option<Instant>,
}

impl InstanceRecords {
    /// Notes that the store can't be reached.
    pub(crate) fn note_trouble(&mut self, now: Instant) {
        self.trouble_at = Some(now);
    }

    /// Takes in what an instance says; returns whether more than its heartbeat has changed.
    pub(crate) fn put(&mut self, entry: InstanceEntry, now: Instant) -> bool {
        self.lapsed.remove(&entry.id);
        let was_unlisted = self.unlisted.remove(&entry.id).is_some();
        let is_same = self.entries.get(&entry.id).is_some_and(|known| {
            InstanceEntry {
                orders: known.orders,
                ..entry.clone()
            } == *known
        });
        if !is_same {
            self.cold_until
                .insert(entry.id.clone(), now + entry.cold_remaining_ms.duration());
        }
        self.entries.insert(entry.id.clone(), entry);
        !is_same || was_unlisted
    }

    /// Takes in that an entry is no longer there.
    pub(crate) fn remove(&mut self, id: &InstanceId, now: Instant) {
        let in_trouble = |at: Instant| now.duration_since(at) < LAPSE_WINDOW;
        let Some(entry) = self.entries.get(id) else {
            return;
        };
        if entry.is_leaving {
            self.forget(id);
        } else if self.trouble_at.is_some_and(in_trouble) {
            self.lapsed.entry(id.clone()).or_insert(now + LAPSE_GRACE);
        } else {
            self.unlisted.insert(id.clone(), now + UNLISTED_KEEP);
        }
    }

    /// Drops entries that vanished and have not come back; returns whether there were any.
    pub(crate) fn drop_lapsed(&mut self, now: Instant) -> bool {
        let over = take_over(&mut self.lapsed, now);
        let gone = take_over(&mut self.unlisted, now);
        for id in &over {
            self.unlisted.insert(id.clone(), now + UNLISTED_KEEP);
        }
        for id in &gone {
            self.forget(id);
        }
        !over.is_empty() || !gone.is_empty()
    }

    /// Returns the instances whose entries have vanished.
    pub(crate) fn unlisted(&self) -> BTreeSet<InstanceId> {
        self.unlisted.keys().cloned().collect()
    }

    /// Returns the entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &InstanceEntry> {
        self.entries.values()
    }

    /// Returns the instances that are cold, and until when.
    pub(crate) fn cold_until(&self, now: Instant) -> BTreeMap<InstanceId, Instant> {
        let cold = self.cold_until.iter().filter(|(_, until)| **until > now);
        cold.map(|(id, until)| (id.clone(), *until)).collect()
    }

    fn forget(&mut self, id: &InstanceId) {
        self.cold_until.remove(id);
        self.lapsed.remove(id);
        self.unlisted.remove(id);
        self.entries.remove(id);
    }
}

/// Takes the instances out whose time is over.
fn take_over(kept: &mut BTreeMap<InstanceId, Instant>, now: Instant) -> Vec<InstanceId> {
    let over = kept.iter().filter(|(_, until)| now >= **until);
    let over: Vec<InstanceId> = over.map(|(id, _)| id.clone()).collect();
    kept.retain(|_, until| now < *until);
    over
}
