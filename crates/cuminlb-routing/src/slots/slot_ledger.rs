//! [`SlotLedger`].

use std::collections::HashMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::holder_slots::HolderSlots;
use super::lost_slots::LostSlots;
use super::{HeldRange, LoadReport, SlotDenial, SlotEnd, SlotHolder, SlotId, SlotLoad, SlotTerms};

/// The slots of one group, kept by the owner of the group for one holding of its lease.
///
/// Every request that runs at the group holds a slot here, so that the sum over all nodes stays
/// within what the upstream can bear. The ledger keeps two upper bounds on the requests that run
/// and goes by the lower one:
///
/// - by count: the slots that are held, and those that are lost and whose time is not over;
/// - by report: what the engine reported as running, and every slot that was granted so late that
///   the report may have missed it.
#[derive(Debug)]
pub struct SlotLedger {
    fencing: FencingNumber,
    epoch: Epoch,
    terms: SlotTerms,
    holders: HashMap<SlotHolder, HolderSlots>,
    lost: LostSlots,
    report: Option<LoadReport>,
    recovers_at: Option<Instant>,
}

impl SlotLedger {
    /// Opens the ledger of an owner that took the lease by `now`.
    ///
    /// It grants nothing until every request that an owner before it let through shows in a
    /// report. That holds for the first owner of a new group too: its members may come from a
    /// group that was dissolved while its requests still ran.
    pub fn new(fencing: FencingNumber, epoch: Epoch, terms: SlotTerms, now: Instant) -> Self {
        let blind_ms = terms.max_send_ms + terms.max_report_lag_ms;
        Self {
            recovers_at: Some(now + blind_ms.duration()),
            ..Self::after_idle_owner(fencing, epoch, terms)
        }
    }

    /// Opens the ledger of an owner that follows one that gave the lease up when its own ledger
    /// was idle: it grants at once.
    pub fn after_idle_owner(fencing: FencingNumber, epoch: Epoch, terms: SlotTerms) -> Self {
        Self {
            fencing,
            epoch,
            terms,
            holders: HashMap::new(),
            lost: LostSlots::default(),
            report: None,
            recovers_at: None,
        }
    }

    /// Returns the fencing number of the lease under which the ledger was opened.
    pub const fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Goes on at another epoch; requests of the epoch before go on counting until they end.
    pub const fn set_epoch(&mut self, epoch: Epoch) {
        self.epoch = epoch;
    }

    /// Grants a slot if fewer than `limit` are taken.
    ///
    /// A repeat of an ask that already holds a slot is granted again, as if it were new: the
    /// request may start only now.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] when the epoch is another one, the ledger is not complete yet or all
    /// slots are taken.
    pub fn grant(
        &mut self,
        slot: &SlotId,
        epoch: Epoch,
        limit: SlotCount,
        now: Instant,
    ) -> Result<SlotLoad, SlotDenial> {
        self.note_heard(&slot.holder, now);
        self.expire(now);
        if epoch != self.epoch {
            return Err(SlotDenial::EpochChanged { epoch: self.epoch });
        }
        if self.recovers_at.is_some() {
            return Err(SlotDenial::Recovering);
        }
        let earlier = self.take_held(slot);
        let taken = self.taken();
        if taken >= limit {
            if let Some(granted_at) = earlier {
                self.hold(slot, granted_at);
            }
            let load = SlotLoad { taken, limit };
            return Err(SlotDenial::Full { load });
        }
        self.hold(slot, now);
        let taken = self.taken();
        Ok(SlotLoad { taken, limit })
    }

    /// Takes a slot back; an unknown one changes nothing.
    pub fn release(&mut self, slot: &SlotId, end: SlotEnd, now: Instant) {
        let Some(granted_at) = self.take_held(slot) else {
            if end == SlotEnd::Finished {
                self.lost.remove(slot);
            }
            return;
        };
        match end {
            SlotEnd::Finished => {}
            SlotEnd::Abandoned => {
                let ends_by = now + self.terms.max_cancel_ms.duration();
                self.lost.add(slot.clone(), granted_at, ends_by);
            }
        }
    }

    /// Takes in what a holder says that it holds: asks that have ended give their slots back, and
    /// slots that the ledger does not know are added, whoever granted them.
    ///
    /// How an ask ended is not known here, so it counts as abandoned.
    pub fn reconcile(&mut self, holder: &SlotHolder, range: &HeldRange, now: Instant) {
        self.note_heard(holder, now);
        let known = self.holders.entry(holder.clone());
        let known = known.or_insert_with(|| HolderSlots::new(now));
        let ended: Vec<SlotTicket> = known
            .slots
            .keys()
            .copied()
            .filter(|ticket| range.ends(*ticket))
            .collect();
        for ticket in range.held() {
            known.slots.entry(ticket).or_insert(now);
        }
        for ticket in ended {
            let holder = holder.clone();
            self.release(&SlotId { holder, ticket }, SlotEnd::Abandoned, now);
        }
        self.lost.remove_held(holder, range);
    }

    /// Takes in a report of the engine.
    pub fn note_report(&mut self, report: LoadReport, now: Instant) {
        if self
            .report
            .is_some_and(|newest| newest.sent_at > report.sent_at)
        {
            return;
        }
        self.expire(now);
        self.report = Some(report);
        match self.recovers_at {
            Some(recovers_at) if report.sent_at < recovers_at => {}
            Some(_) => self.recover(report, now),
            None => self
                .lost
                .keep_running(report.running, self.seen_until(report)),
        }
    }

    /// Returns an upper bound on the requests that run, or that may still be on their way.
    pub fn taken(&self) -> SlotCount {
        let by_count = self.held().count() + self.lost.count();
        let taken = match self.report {
            Some(report) => by_count.min(self.by_report(report)),
            None => by_count,
        };
        SlotCount(u32::try_from(taken).unwrap_or(u32::MAX))
    }

    /// Tells whether it is certain that no slot is held and no request runs.
    pub fn is_idle(&self) -> bool {
        !self.is_recovering() && self.held().count() + self.lost.count() == 0
    }

    /// Tells whether the ledger still waits for the requests of the owner before.
    pub const fn is_recovering(&self) -> bool {
        self.recovers_at.is_some()
    }

    /// Counts what the owner before granted: everything that runs now, until its time is over.
    fn recover(&mut self, report: LoadReport, now: Instant) {
        let ends_by = now + self.terms.max_request_ms.duration();
        self.lost.add_unknown(report.running, ends_by);
        self.recovers_at = None;
    }

    fn by_report(&self, report: LoadReport) -> usize {
        let seen_until = self.seen_until(report);
        let is_later = |granted_at: &&Instant| seen_until.is_none_or(|until| **granted_at > until);
        let held = self.held().filter(is_later).count();
        let lost = self.lost.count_later_than(seen_until);
        report.running.get() as usize + held + lost
    }

    /// Returns the time before which a slot must have been granted for its request to show in a
    /// report; `None` where that time is before the clock's start.
    fn seen_until(&self, report: LoadReport) -> Option<Instant> {
        let blind_ms = self.terms.max_send_ms + self.terms.max_report_lag_ms;
        report.sent_at.checked_sub(blind_ms.duration())
    }

    /// Moves the slots of silent holders to the lost ones, and drops the lost ones whose time is
    /// over.
    fn expire(&mut self, now: Instant) {
        let timeout = self.terms.holder_timeout_ms.duration();
        let silent: Vec<SlotHolder> = self
            .holders
            .iter()
            .filter(|(_, slots)| now.duration_since(slots.heard_at) > timeout)
            .map(|(holder, _)| holder.clone())
            .collect();
        for holder in silent {
            self.lose_all(&holder);
        }
        self.lost.expire(now);
    }

    /// Notes that a holder is up; earlier starts of the same node are not any more.
    fn note_heard(&mut self, holder: &SlotHolder, now: Instant) {
        if let Some(known) = self.holders.get_mut(holder) {
            known.heard_at = now;
            return;
        }
        let earlier: Vec<SlotHolder> = self
            .holders
            .keys()
            .filter(|known| known.node == holder.node)
            .filter(|known| known.incarnation < holder.incarnation)
            .cloned()
            .collect();
        for holder in earlier {
            self.lose_all(&holder);
        }
    }

    fn lose_all(&mut self, holder: &SlotHolder) {
        let Some(known) = self.holders.remove(holder) else {
            return;
        };
        let max_send = self.terms.max_send_ms.duration();
        let max_request = self.terms.max_request_ms.duration();
        for (ticket, granted_at) in known.slots {
            let holder = holder.clone();
            let begun_by = known.heard_at.max(granted_at) + max_send;
            let ends_by = begun_by + max_request;
            self.lost
                .add(SlotId { holder, ticket }, granted_at, ends_by);
        }
    }

    fn hold(&mut self, slot: &SlotId, granted_at: Instant) {
        self.lost.remove(slot);
        let holder = self.holders.entry(slot.holder.clone());
        let holder = holder.or_insert_with(|| HolderSlots::new(granted_at));
        holder.slots.insert(slot.ticket, granted_at);
    }

    /// Removes a slot that is held and returns when it was granted.
    fn take_held(&mut self, slot: &SlotId) -> Option<Instant> {
        let holder = self.holders.get_mut(&slot.holder)?;
        holder.slots.remove(&slot.ticket)
    }

    fn held(&self) -> impl Iterator<Item = &Instant> {
        self.holders
            .values()
            .flat_map(|holder| holder.slots.values())
    }
}
