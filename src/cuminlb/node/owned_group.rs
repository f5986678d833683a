//! A group that this node owns, and the decision whether it serves and grants slots.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_config::ServiceSpec;
use cuminlb_fleet::freshness::OutageExtension;
use cuminlb_fleet::lease::HeldLease;
use cuminlb_fleet::rows::GroupRecord;
use cuminlb_routing::{LoadReport, SlotDenial, SlotId, SlotLedger, SlotLoad};
use cuminlb_types::prelude::*;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::Proof;

/// A group that this node owns at one epoch: its lease, its proofs and its slots.
#[derive(Debug)]
pub struct OwnedGroup {
    /// The service of the group.
    pub service: ServiceId,
    /// The record of the group in the roster.
    pub record: GroupRecord,
    /// When this node started to own the group at this epoch.
    pub owned_since: Instant,
    lease: watch::Receiver<HeldLease>,
    outage_extension: watch::Receiver<OutageExtension>,
    proofs: Mutex<HashMap<InstanceId, Proof>>,
    ledger: Mutex<Option<SlotLedger>>,
    draining: AtomicBool,
    /// Notified when a slot is released or a new proof of a member arrives.
    pub changed: Notify,
}

impl OwnedGroup {
    /// Creates an owned group; it serves once every member is proved to be up.
    pub fn new(
        service: ServiceId,
        record: GroupRecord,
        lease: watch::Receiver<HeldLease>,
        outage_extension: watch::Receiver<OutageExtension>,
    ) -> Self {
        Self {
            service,
            record,
            owned_since: Instant::now(),
            lease,
            outage_extension,
            proofs: Mutex::default(),
            ledger: Mutex::default(),
            draining: AtomicBool::new(false),
            changed: Notify::new(),
        }
    }

    /// Returns the lease as last renewed.
    pub fn lease(&self) -> HeldLease {
        *self.lease.borrow()
    }

    /// Returns whether the holder of the lease may act: until the lease expires, and beyond that
    /// while an outage extension has been valid without a gap since then.
    pub fn is_lease_valid(&self, now: Instant) -> bool {
        let lease = self.lease();
        let extension = *self.outage_extension.borrow();
        lease.is_valid(now) || extension.is_active_since(lease.valid_until, now)
    }

    /// Records the proof of a member.
    ///
    /// The leader's load is that of the group, because every request is sent to the leader.
    pub fn record_proof(&self, member: &InstanceId, proof: Proof) {
        lock(&self.proofs).insert(member.clone(), proof);
        if self.record.members.first() == Some(member) {
            let report = LoadReport {
                sent_at: proof.sent_at,
                running: proof.running,
            };
            self.with_ledger(|ledger| ledger.record_report(report, Instant::now()));
        }
        self.changed.notify_waiters();
    }

    /// Withdraws the proof of a member that is certainly no longer up in its group.
    pub fn withdraw_proof(&self, member: &InstanceId) {
        if let Some(proof) = lock(&self.proofs).get_mut(member) {
            proof.withdrawn = true;
        }
    }

    /// Stops granting slots; slots that are taken stay valid.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Returns whether the group has stopped granting slots.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Returns whether no slot is taken and no member reports a running request.
    pub fn is_idle(&self) -> bool {
        let no_slot_taken = self.taken() == SlotCount(0);
        let proofs = lock(&self.proofs);
        no_slot_taken && proofs.values().all(|proof| proof.running == SlotCount(0))
    }

    /// Returns the newest proof of a member.
    pub fn proof(&self, member: &InstanceId) -> Option<Proof> {
        lock(&self.proofs).get(member).copied()
    }

    /// Returns whether the lease is valid and every member has a fresh proof.
    pub fn is_serving(&self, now: Instant, proof_max_age_ms: Millis) -> bool {
        let proofs = lock(&self.proofs);
        let is_fresh = |proof: &Proof| proof.is_fresh(now, proof_max_age_ms);
        let is_proved = |member| proofs.get(member).is_some_and(is_fresh);
        self.is_lease_valid(now) && self.record.members.iter().all(is_proved)
    }

    /// Returns whether the group serves and its ledger is complete, so that slots can be granted.
    pub fn is_granting(&self, now: Instant, proof_max_age_ms: Millis) -> bool {
        let is_complete = self.with_ledger(|ledger| !ledger.is_recovering());
        is_complete.unwrap_or(false) && self.is_serving(now, proof_max_age_ms)
    }

    /// Returns whether every member has completed its cold start.
    pub fn is_warm(&self) -> bool {
        let proofs = lock(&self.proofs);
        let is_warm = |member| proofs.get(member).is_some_and(|proof: &Proof| proof.warm);
        self.record.members.iter().all(is_warm)
    }

    /// Grants a slot for a request at `epoch`.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] when the group does not serve, is draining or is at another epoch,
    /// when its ledger is not complete yet, or when all slots are taken.
    pub fn grant(
        &self,
        spec: &ServiceSpec,
        slot: &SlotId,
        epoch: Epoch,
        is_suspect: bool,
        proof_max_age_ms: Millis,
    ) -> Result<SlotLoad, SlotDenial> {
        let mut ledger = lock(&self.ledger);
        let now = Instant::now();
        let Some(ledger) = ledger.as_mut() else {
            return Err(SlotDenial::NotServing);
        };
        if self.is_draining() || !self.is_serving(now, proof_max_age_ms) {
            return Err(SlotDenial::NotServing);
        }
        let limit = spec.slots(self.is_warm());
        if is_suspect {
            return ledger.grant_suspect(slot, epoch, limit, now);
        }
        ledger.grant(slot, epoch, limit, now)
    }

    /// Returns the number of slots that are taken.
    pub fn taken(&self) -> SlotCount {
        let taken = self.with_ledger(|ledger| ledger.taken());
        taken.unwrap_or_default()
    }

    /// Runs `operation` on the ledger; returns `None` where the ledger is not open.
    pub(super) fn with_ledger<T>(&self, operation: impl FnOnce(&mut SlotLedger) -> T) -> Option<T> {
        lock(&self.ledger).as_mut().map(operation)
    }

    /// Opens the ledger, so that slots can be granted.
    pub(super) fn open_ledger(&self, ledger: SlotLedger) {
        *lock(&self.ledger) = Some(ledger);
    }

    /// Closes the ledger and returns it; no slots are granted afterwards.
    pub(super) fn close_ledger(&self) -> Option<SlotLedger> {
        lock(&self.ledger).take()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
