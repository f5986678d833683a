//! [`LostSlots`].

use std::cmp::Reverse;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::lost_slot::LostSlot;
use super::{HeldRange, SlotHolder, SlotId};

/// The slots for which nobody answers any more, until their requests have certainly ended.
#[derive(Debug, Default)]
pub(super) struct LostSlots {
    slots: Vec<LostSlot>,
}

impl LostSlots {
    /// Adds a slot that this ledger granted.
    pub(super) fn add(&mut self, id: SlotId, granted_at: Instant, ends_by: Instant) {
        self.slots.push(LostSlot {
            id: Some(id),
            granted_at: Some(granted_at),
            ends_by,
        });
    }

    /// Adds a number of requests that ran before this ledger was opened.
    pub(super) fn add_unknown(&mut self, running: SlotCount, ends_by: Instant) {
        let unknown = LostSlot {
            id: None,
            granted_at: None,
            ends_by,
        };
        let running = running.get() as usize;
        self.slots.extend(std::iter::repeat_n(unknown, running));
    }

    /// Removes one slot, because its node answers for it again.
    pub(super) fn remove(&mut self, id: &SlotId) {
        self.slots.retain(|lost| lost.id.as_ref() != Some(id));
    }

    /// Removes the slots of one holder that it says it holds.
    pub(super) fn remove_held(&mut self, holder: &SlotHolder, range: &HeldRange) {
        self.slots.retain(|lost| {
            let id = lost.id.as_ref().filter(|id| id.holder == *holder);
            id.is_none_or(|id| !range.holds(id.ticket))
        });
    }

    /// Removes the slots whose time is over.
    pub(super) fn expire(&mut self, now: Instant) {
        self.slots.retain(|lost| lost.ends_by > now);
    }

    /// Removes as many slots as certainly do not run any more: of those that the engine knew at
    /// `seen_until`, no more than the `running` that it reported can still run.
    ///
    /// Which of them run is not known, so those that are kept have no name any more and end as
    /// late as any of them may.
    pub(super) fn keep_running(&mut self, running: SlotCount, seen_until: Option<Instant>) {
        let running = running.get() as usize;
        let is_seen = |lost: &mut LostSlot| !lost.is_later_than(seen_until);
        let mut seen: Vec<LostSlot> = self.slots.extract_if(.., is_seen).collect();
        if seen.len() > running {
            seen.sort_by_key(|lost| Reverse(lost.ends_by));
            seen.truncate(running);
            seen.iter_mut().for_each(|lost| lost.id = None);
        }
        self.slots.append(&mut seen);
    }

    /// Counts the slots.
    pub(super) const fn count(&self) -> usize {
        self.slots.len()
    }

    /// Counts the slots whose requests may have begun only after `time`.
    pub(super) fn count_later_than(&self, time: Option<Instant>) -> usize {
        let later = self.slots.iter().filter(|lost| lost.is_later_than(time));
        later.count()
    }
}
