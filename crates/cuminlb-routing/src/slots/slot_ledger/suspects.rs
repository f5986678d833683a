//! Slots for requests that are suspected of crashing groups.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::SlotLedger;
use crate::slots::{SlotDenial, SlotId, SlotLoad};

impl SlotLedger {
    /// Grants a slot to a request that is suspected of crashing groups, like [`Self::grant`], but
    /// only while no other suspect may be running: a crash then identifies its cause.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial::SuspectRunning`] while another suspect may run, and otherwise the same
    /// as [`Self::grant`].
    pub fn grant_suspect(
        &mut self,
        slot: &SlotId,
        epoch: Epoch,
        limit: SlotCount,
        now: Instant,
    ) -> Result<SlotLoad, SlotDenial> {
        self.expire(now);
        self.remove_ended_suspects();
        if self.suspects.iter().any(|other| other != slot) {
            return Err(SlotDenial::SuspectRunning);
        }
        let load = self.grant(slot, epoch, limit, now)?;
        self.suspects.insert(slot.clone());
        Ok(load)
    }

    /// Forgets the suspects whose requests have certainly ended.
    fn remove_ended_suspects(&mut self) {
        let (holders, orphaned) = (&self.holders, &self.orphaned);
        self.suspects.retain(|slot| {
            let holder = holders.get(&slot.holder);
            let is_held = holder.is_some_and(|holder| holder.slots.contains_key(&slot.ticket));
            is_held || orphaned.contains(slot)
        });
    }
}
