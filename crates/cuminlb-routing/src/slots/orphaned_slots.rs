//! The orphaned slots of one ledger.

use std::cmp::Reverse;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::orphaned_slot::OrphanedSlot;
use super::{HeldRange, SlotHolder, SlotId};

/// The slots for which no node accounts any more, until their requests have certainly ended.
#[derive(Debug, Default)]
pub(super) struct OrphanedSlots {
    slots: Vec<OrphanedSlot>,
}

impl OrphanedSlots {
    /// Adds a slot that this ledger granted.
    pub(super) fn add(&mut self, id: SlotId, granted_at: Instant, ends_by: Instant) {
        self.slots.push(OrphanedSlot {
            id: Some(id),
            granted_at: Some(granted_at),
            ends_by,
        });
    }

    /// Adds the `running` requests that started before this ledger was opened.
    pub(super) fn add_unknown(&mut self, running: SlotCount, ends_by: Instant) {
        let unknown = OrphanedSlot {
            id: None,
            granted_at: None,
            ends_by,
        };
        let running = running.get() as usize;
        self.slots.extend(std::iter::repeat_n(unknown, running));
    }

    /// Returns whether a slot is among these.
    pub(super) fn contains(&self, id: &SlotId) -> bool {
        self.slots.iter().any(|slot| slot.id.as_ref() == Some(id))
    }

    /// Removes one slot, because its holder accounts for it again or its request has ended.
    pub(super) fn remove(&mut self, id: &SlotId) {
        self.slots.retain(|slot| slot.id.as_ref() != Some(id));
    }

    /// Removes the slots of one holder that it reports as held.
    pub(super) fn remove_held(&mut self, holder: &SlotHolder, range: &HeldRange) {
        self.slots.retain(|slot| {
            let id = slot.id.as_ref().filter(|id| id.holder == *holder);
            id.is_none_or(|id| !range.holds(id.ticket))
        });
    }

    /// Removes the slots whose requests have certainly ended.
    pub(super) fn expire(&mut self, now: Instant) {
        self.slots.retain(|slot| slot.ends_by > now);
    }

    /// Removes as many slots as have certainly ended: of those granted until `visible_until`, whose
    /// requests the engine has counted, no more than the `running` that it reported can still run.
    ///
    /// It is unknown which of them run. The slots that are kept therefore lose their identity, and
    /// they are the ones with the latest ends.
    pub(super) fn retain_running(&mut self, running: SlotCount, visible_until: Option<Instant>) {
        let running = running.get() as usize;
        let is_visible = |slot: &mut OrphanedSlot| !slot.is_newer_than(visible_until);
        let mut visible: Vec<OrphanedSlot> = self.slots.extract_if(.., is_visible).collect();
        if visible.len() > running {
            visible.sort_by_key(|slot| Reverse(slot.ends_by));
            visible.truncate(running);
            visible.iter_mut().for_each(|slot| slot.id = None);
        }
        self.slots.append(&mut visible);
    }

    /// Returns the number of slots.
    pub(super) const fn count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the number of slots that were granted after `time`.
    pub(super) fn count_newer_than(&self, time: Option<Instant>) -> usize {
        let newer = self.slots.iter().filter(|slot| slot.is_newer_than(time));
        newer.count()
    }
}
