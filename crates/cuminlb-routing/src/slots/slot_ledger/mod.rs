//! The accounting of slots at the owner of a group.

mod suspects;

use std::collections::{HashMap, HashSet};

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::holder_slots::HolderSlots;
use super::orphaned_slots::OrphanedSlots;
use super::{
    HeldRange, LoadReport, ReleaseReason, SlotDenial, SlotHolder, SlotId, SlotLoad, SlotTiming,
};

/// The slots of one group, accounted for by the owner of the group while it holds the lease.
///
/// Every request that runs at the group has a slot here, so that the sum over all nodes stays
/// within the capacity of the upstream. The ledger maintains two upper bounds on the number of
/// running requests and uses the lower one:
///
/// - by count: the slots that are held, and the orphaned ones whose requests may still run;
/// - by report: the requests that the engine reported as running, and every slot that was granted
///   so late that the report may have missed its request.
#[derive(Debug)]
pub struct SlotLedger {
    fencing: FencingNumber,
    epoch: Epoch,
    timing: SlotTiming,
    holders: HashMap<SlotHolder, HolderSlots>,
    orphaned: OrphanedSlots,
    report: Option<LoadReport>,
    /// The slots granted to requests that are suspected of crashing groups.
    suspects: HashSet<SlotId>,
    /// While the ledger is recovering, the earliest probe whose report completes the recovery.
    recovery_ends_at: Option<Instant>,
}

impl SlotLedger {
    /// Opens the ledger of an owner that has acquired the lease by `now`.
    ///
    /// The ledger grants no slots until every request that a previous owner let through shows in a
    /// report. That applies to the first owner of a new group too: its members may come from a
    /// group that was dissolved while its requests still ran.
    pub fn new(fencing: FencingNumber, epoch: Epoch, timing: SlotTiming, now: Instant) -> Self {
        let max_visibility_lag_ms = timing.max_send_ms + timing.max_report_lag_ms;
        Self {
            recovery_ends_at: Some(now + max_visibility_lag_ms.duration()),
            ..Self::after_idle_owner(fencing, epoch, timing)
        }
    }

    /// Opens the ledger of an owner whose predecessor released the lease while its ledger was idle.
    ///
    /// The ledger grants slots immediately.
    pub fn after_idle_owner(fencing: FencingNumber, epoch: Epoch, timing: SlotTiming) -> Self {
        Self {
            fencing,
            epoch,
            timing,
            holders: HashMap::new(),
            orphaned: OrphanedSlots::default(),
            report: None,
            suspects: HashSet::new(),
            recovery_ends_at: None,
        }
    }

    /// Returns the fencing number of the lease under which the ledger was opened.
    pub const fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Continues at another epoch; requests of the previous epoch count until they end.
    pub const fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Grants a slot if fewer than `limit` are taken.
    ///
    /// A repeated slot request that already holds a slot is granted again as if it were new,
    /// because its request may start only now.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] when the epoch differs, the ledger is recovering or all slots are
    /// taken.
    pub fn grant(
        &mut self,
        slot: &SlotId,
        epoch: Epoch,
        limit: SlotCount,
        now: Instant,
    ) -> Result<SlotLoad, SlotDenial> {
        self.record_contact(&slot.holder, now);
        self.expire(now);
        if epoch != self.epoch {
            return Err(SlotDenial::EpochChanged { epoch: self.epoch });
        }
        if self.recovery_ends_at.is_some() {
            return Err(SlotDenial::Recovering);
        }
        let earlier_grant = self.remove_held(slot);
        let taken = self.taken();
        if taken >= limit {
            if let Some(granted_at) = earlier_grant {
                self.insert_held(slot, granted_at);
            }
            let load = SlotLoad { taken, limit };
            return Err(SlotDenial::Full { load });
        }
        self.insert_held(slot, now);
        let taken = self.taken();
        Ok(SlotLoad { taken, limit })
    }

    /// Releases a slot; does nothing if the slot is unknown.
    pub fn release(&mut self, slot: &SlotId, reason: ReleaseReason, now: Instant) {
        let Some(granted_at) = self.remove_held(slot) else {
            if reason == ReleaseReason::Finished {
                self.orphaned.remove(slot);
            }
            return;
        };
        match reason {
            ReleaseReason::Finished => {}
            ReleaseReason::Abandoned => {
                let ends_by = now + self.timing.max_cancel_ms.duration();
                self.orphaned.add(slot.clone(), granted_at, ends_by);
            }
        }
    }

    /// Reconciles the ledger with the slots that a holder reports: slots whose requests have ended
    /// are released, and unknown slots are added, whichever owner granted them.
    ///
    /// The report does not say how a slot request ended, so it counts as abandoned.
    pub fn reconcile(&mut self, holder: &SlotHolder, range: &HeldRange, now: Instant) {
        self.record_contact(holder, now);
        let known = self.holders.entry(holder.clone());
        let known = known.or_insert_with(|| HolderSlots::new(now));
        let ended: Vec<SlotTicket> = known
            .slots
            .keys()
            .copied()
            .filter(|ticket| range.has_ended(*ticket))
            .collect();
        for ticket in range.held() {
            known.slots.entry(ticket).or_insert(now);
        }
        for ticket in ended {
            let holder = holder.clone();
            self.release(&SlotId { holder, ticket }, ReleaseReason::Abandoned, now);
        }
        self.orphaned.remove_held(holder, range);
    }

    /// Records a report of the engine; older reports than the newest one are ignored.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        if self
            .report
            .is_some_and(|newest| newest.sent_at > report.sent_at)
        {
            return;
        }
        self.expire(now);
        self.report = Some(report);
        match self.recovery_ends_at {
            Some(recovery_ends_at) if report.sent_at < recovery_ends_at => {}
            Some(_) => self.recover(report, now),
            None => self
                .orphaned
                .retain_running(report.running, self.visible_until(report)),
        }
    }

    /// Returns an upper bound on the requests that run or may still be in flight to the engine.
    pub fn taken(&self) -> SlotCount {
        let by_count = self.held().count() + self.orphaned.count();
        let taken = match self.report {
            Some(report) => by_count.min(self.by_report(report)),
            None => by_count,
        };
        SlotCount(u32::try_from(taken).unwrap_or(u32::MAX))
    }

    /// Returns whether it is certain that no slot is held and no request runs.
    pub fn is_idle(&self) -> bool {
        !self.is_recovering() && self.held().count() + self.orphaned.count() == 0
    }

    /// Returns whether requests of a previous owner may still be missing from the ledger.
    pub const fn is_recovering(&self) -> bool {
        self.recovery_ends_at.is_some()
    }

    /// Completes the recovery: every request that runs now counts as granted by a previous owner,
    /// until it has certainly ended.
    fn recover(&mut self, report: LoadReport, now: Instant) {
        let ends_by = now + self.timing.max_request_ms.duration();
        self.orphaned.add_unknown(report.running, ends_by);
        self.recovery_ends_at = None;
    }

    /// Returns the upper bound by report.
    fn by_report(&self, report: LoadReport) -> usize {
        let visible_until = self.visible_until(report);
        let is_newer =
            |granted_at: &&Instant| visible_until.is_none_or(|until| **granted_at > until);
        let held = self.held().filter(is_newer).count();
        let orphaned = self.orphaned.count_newer_than(visible_until);
        report.running.get() as usize + held + orphaned
    }

    /// Returns the time by which a slot must have been granted for its request to show in a report;
    /// `None` if that time is not representable as an [`Instant`].
    fn visible_until(&self, report: LoadReport) -> Option<Instant> {
        let max_visibility_lag_ms = self.timing.max_send_ms + self.timing.max_report_lag_ms;
        report.sent_at.checked_sub(max_visibility_lag_ms.duration())
    }

    /// Orphans the slots of holders that have timed out, and removes the orphaned slots whose
    /// requests have certainly ended.
    fn expire(&mut self, now: Instant) {
        let timeout = self.timing.holder_timeout_ms.duration();
        let silent: Vec<SlotHolder> = self
            .holders
            .iter()
            .filter(|(_, slots)| now.duration_since(slots.last_seen_at) > timeout)
            .map(|(holder, _)| holder.clone())
            .collect();
        for holder in silent {
            self.orphan_all(&holder);
        }
        self.orphaned.expire(now);
    }

    /// Records a message of a holder; earlier incarnations of the same node have ended, so their
    /// slots are orphaned.
    fn record_contact(&mut self, holder: &SlotHolder, now: Instant) {
        if let Some(known) = self.holders.get_mut(holder) {
            known.last_seen_at = now;
            return;
        }
        let ended: Vec<SlotHolder> = self
            .holders
            .keys()
            .filter(|known| known.node == holder.node)
            .filter(|known| known.incarnation < holder.incarnation)
            .cloned()
            .collect();
        for holder in ended {
            self.orphan_all(&holder);
        }
    }

    /// Moves all slots of a holder to the orphaned ones.
    fn orphan_all(&mut self, holder: &SlotHolder) {
        let Some(known) = self.holders.remove(holder) else {
            return;
        };
        let max_send = self.timing.max_send_ms.duration();
        let max_request = self.timing.max_request_ms.duration();
        for (ticket, granted_at) in known.slots {
            let holder = holder.clone();
            let started_by = known.last_seen_at.max(granted_at) + max_send;
            let ends_by = started_by + max_request;
            self.orphaned
                .add(SlotId { holder, ticket }, granted_at, ends_by);
        }
    }

    /// Adds a held slot, which is no longer orphaned.
    fn insert_held(&mut self, slot: &SlotId, granted_at: Instant) {
        self.orphaned.remove(slot);
        let holder = self.holders.entry(slot.holder.clone());
        let holder = holder.or_insert_with(|| HolderSlots::new(granted_at));
        holder.slots.insert(slot.ticket, granted_at);
    }

    /// Removes a held slot and returns when it was granted.
    fn remove_held(&mut self, slot: &SlotId) -> Option<Instant> {
        let holder = self.holders.get_mut(&slot.holder)?;
        holder.slots.remove(&slot.ticket)
    }

    /// Returns the times at which the held slots were granted.
    fn held(&self) -> impl Iterator<Item = &Instant> {
        self.holders
            .values()
            .flat_map(|holder| holder.slots.values())
    }
}
