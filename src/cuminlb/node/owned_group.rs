//! [`OwnedGroup`].

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
    /// The group as it stands in the roster.
    pub record: GroupRecord,
    /// When this node began to own the group at this epoch.
    pub owned_since: Instant,
    lease: watch::Receiver<HeldLease>,
    extension: watch::Receiver<OutageExtension>,
    proofs: Mutex<HashMap<InstanceId, Proof>>,
    ledger: Mutex<Option<SlotLedger>>,
    draining: AtomicBool,
    /// Told when a slot came free or the group began to serve.
    pub changed: Notify,
}

impl OwnedGroup {
    /// Starts to own a group; it serves once every member is proved to be up.
    pub fn new(
        service: ServiceId,
        record: GroupRecord,
        lease: watch::Receiver<HeldLease>,
        extension: watch::Receiver<OutageExtension>,
    ) -> Self {
        Self {
            service,
            record,
            owned_since: Instant::now(),
            lease,
            extension,
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

    /// Tells whether the holder of the lease may act, in an outage past its end too.
    pub fn is_lease_valid(&self, now: Instant) -> bool {
        let lease = self.lease();
        let extension = *self.extension.borrow();
        lease.is_valid(now) || extension.is_active_since(lease.valid_until, now)
    }

    /// Notes the proof of a member.
    ///
    /// The leader's load is that of the group, because every request goes to the leader.
    pub fn note_proof(&self, member: &InstanceId, proof: Proof) {
        lock(&self.proofs).insert(member.clone(), proof);
        if self.record.members.first() == Some(member) {
            let report = LoadReport {
                sent_at: proof.at,
                running: proof.running,
            };
            self.with_ledger(|ledger| ledger.note_report(report, Instant::now()));
        }
        self.changed.notify_waiters();
    }

    /// Withdraws the proof of a member that is certainly not up.
    pub fn withdraw_proof(&self, member: &InstanceId) {
        if let Some(proof) = lock(&self.proofs).get_mut(member) {
            proof.withdrawn = true;
        }
    }

    /// Grants no slots any more; those that are taken go on.
    pub fn start_draining(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether no slots are granted any more.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Tells whether no slot is taken and no member reports that it runs a request.
    pub fn is_idle(&self) -> bool {
        let no_slot_taken = self.taken() == SlotCount(0);
        let proofs = lock(&self.proofs);
        no_slot_taken && proofs.values().all(|proof| proof.running == SlotCount(0))
    }

    /// Returns the newest proof of a member.
    pub fn proof(&self, member: &InstanceId) -> Option<Proof> {
        lock(&self.proofs).get(member).copied()
    }

    /// Tells whether the lease is valid and every member is freshly proved to be up.
    pub fn is_serving(&self, now: Instant, proof_max_age_ms: Millis) -> bool {
        let proofs = lock(&self.proofs);
        let fresh = |proof: &Proof| proof.is_fresh(now, proof_max_age_ms);
        let is_proved = |member| proofs.get(member).is_some_and(fresh);
        self.is_lease_valid(now) && self.record.members.iter().all(is_proved)
    }

    /// Tells whether the group serves and its ledger is complete, so that slots are granted.
    pub fn is_granting(&self, now: Instant, proof_max_age_ms: Millis) -> bool {
        let is_complete = self.with_ledger(|ledger| !ledger.is_recovering());
        is_complete.unwrap_or(false) && self.is_serving(now, proof_max_age_ms)
    }

    /// Tells whether every member has left its cold start behind.
    pub fn is_warm(&self) -> bool {
        let proofs = lock(&self.proofs);
        let is_warm = |member| proofs.get(member).is_some_and(|proof: &Proof| proof.warm);
        self.record.members.iter().all(is_warm)
    }

    /// Grants a slot.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] when the group does not serve or all slots are taken.
    pub fn grant(
        &self,
        spec: &ServiceSpec,
        slot: &SlotId,
        epoch: Epoch,
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
        ledger.grant(slot, epoch, limit, now)
    }

    /// Returns the number of slots that are taken.
    pub fn taken(&self) -> SlotCount {
        let taken = self.with_ledger(|ledger| ledger.taken());
        taken.unwrap_or_default()
    }

    /// Runs a change on the ledger; `None` where the group is not owned any more.
    pub(super) fn with_ledger<T>(&self, change: impl FnOnce(&mut SlotLedger) -> T) -> Option<T> {
        lock(&self.ledger).as_mut().map(change)
    }

    /// Sets the ledger.
    pub(super) fn open_ledger(&self, ledger: SlotLedger) {
        *lock(&self.ledger) = Some(ledger);
    }

    /// Takes the ledger out; nothing is granted from here any more.
    pub(super) fn close_ledger(&self) -> Option<SlotLedger> {
        lock(&self.ledger).take()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
