//! The lease as this node reads it from the replica and writes it to the store.

use cuminlb_catalog::{StoreError, StoreTable, WriteOutcome};
use cuminlb_fleet::lease::{
    HeldLease, LeaseAnswer, LeaseCandidate, LeaseWrite, LeaseWriteOutcome, SuspensionWatch,
};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::boot_time::{BootTime, running_time};
use super::lease_rows::{
    LEASE_TIMING, MAX_EXTENSION_MS, decode_lease, lease_key, read_lease, unreadable_lease,
};
use crate::gateway::Gateway;

/// The lease as this node has observed it or holds it.
#[derive(Debug)]
pub(super) struct LeaseState {
    candidate: LeaseCandidate,
    suspension: SuspensionWatch,
}

impl LeaseState {
    pub(super) fn new(node: NodeId) -> Self {
        let incarnation = Incarnation(UnixMillis::now().get());
        Self {
            candidate: LeaseCandidate::new(node, incarnation, LEASE_TIMING, MAX_EXTENSION_MS),
            suspension: SuspensionWatch::default(),
        }
    }

    /// Returns the lease that this node holds, whether or not it is still valid.
    pub(super) fn held(&self) -> Option<HeldLease<StoreVersion>> {
        self.candidate.held().copied()
    }

    /// Releases the lease, so that another node can acquire it at once.
    pub(super) async fn release(&mut self, gateway: &Gateway) {
        self.write(gateway, Millis(0)).await;
        self.candidate.clear();
    }

    /// Extends the validity of the lease to a later time.
    pub(super) fn extend(&mut self, until: Instant) {
        self.candidate.extend(until);
    }

    /// Returns whether the lease of another node has ended, so that this node may acquire it.
    pub(super) fn may_acquire(&mut self, gateway: &Gateway, now: Instant) -> bool {
        let table_version = gateway.replica.version(StoreTable::Nodes);
        if let Some((row, version)) = read_lease(&gateway.replica) {
            return self.candidate.may_acquire(row, version, now);
        }
        match unreadable_lease(&gateway.replica) {
            Some(version) => self.candidate.may_replace_unreadable(version, now),
            None if table_version == StoreVersion::default() => false,
            None => self.candidate.may_acquire_absent(table_version.era, now),
        }
    }

    /// Acquires or renews the lease; a length of zero releases it. If the store was restored while
    /// this node's lease is valid, the row is written once more, on the version that the copy has.
    pub(super) async fn write(
        &mut self,
        gateway: &Gateway,
        length_ms: Millis,
    ) -> LeaseWriteOutcome {
        match self.write_once(gateway, length_ms).await {
            LeaseWriteOutcome::Restored => self.write_once(gateway, length_ms).await,
            outcome => outcome,
        }
    }

    async fn write_once(&mut self, gateway: &Gateway, length_ms: Millis) -> LeaseWriteOutcome {
        self.drop_if_suspended();
        let write = self.candidate.prepare_write(length_ms, Instant::now());
        let (Some(key), Ok(value)) = (lease_key(), serde_json::to_vec(&write.row)) else {
            warn!("failed to encode the lease row");
            self.candidate.clear();
            return LeaseWriteOutcome::Lost;
        };
        let store = &gateway.edges.store;
        let expected = write.expected;
        let outcome = store.write(StoreTable::Nodes, &key, expected, &value).await;
        let was_held = self.candidate.held().is_some();
        if let Err(error) = &outcome {
            warn!(is_held = was_held; "the lease was not written: {error}");
        }
        let era = gateway.replica.version(StoreTable::Nodes).era;
        let answer = read_answer(outcome, era.max(write.expected.era));
        let answered_version = answer_version(&answer);
        let mut outcome = self.candidate.handle_answer(&write, answer, Instant::now());
        if self.drop_if_suspended() {
            outcome = LeaseWriteOutcome::Lost;
        }
        log_change(&write, was_held, outcome, answered_version);
        outcome
    }

    /// Drops the lease if the machine was suspended since the last call, because the lease was
    /// measured by a clock that stood still meanwhile. Returns whether it was.
    fn drop_if_suspended(&mut self) -> bool {
        let (since_boot, running) = (BootTime::now().since_boot(), running_time());
        let was_suspended = self.suspension.observe(since_boot, running);
        if was_suspended {
            info!(is_held = self.candidate.held().is_some(); "machine was suspended; lease dropped");
            self.candidate.clear();
        }
        was_suspended
    }
}

/// Translates the outcome of a write of the lease row. `era` is the latest one that is known.
fn read_answer(outcome: Result<WriteOutcome, StoreError>, era: StoreEra) -> LeaseAnswer {
    match outcome {
        Ok(WriteOutcome::Written { version }) => LeaseAnswer::Written { version },
        Ok(WriteOutcome::Conflict { found: Some(row) }) => LeaseAnswer::Conflict {
            found: decode_lease(&row),
            version: row.version,
        },
        Ok(WriteOutcome::Conflict { found: None }) => LeaseAnswer::Conflict {
            found: None,
            version: StoreVersion::new(era, RowVersion(0)),
        },
        Err(StoreError::Unreachable { .. } | StoreError::Refused { .. }) => LeaseAnswer::Refused,
        Err(
            StoreError::NoResponse { .. }
            | StoreError::HistoryGone
            | StoreError::EraEnded { .. }
            | StoreError::Malformed { .. },
        ) => LeaseAnswer::Unknown,
    }
}

fn answer_version(answer: &LeaseAnswer) -> Option<StoreVersion> {
    match answer {
        LeaseAnswer::Written { version } | LeaseAnswer::Conflict { version, .. } => Some(*version),
        LeaseAnswer::Refused | LeaseAnswer::Unknown => None,
    }
}

fn log_change(
    write: &LeaseWrite,
    was_held: bool,
    outcome: LeaseWriteOutcome,
    version: Option<StoreVersion>,
) {
    let version = version.map(|version| version.to_string());
    match (was_held, outcome) {
        (false, LeaseWriteOutcome::Held) => {
            info!(row_version = version, fencing:% = write.row.fencing; "lease taken");
        }
        (_, LeaseWriteOutcome::Restored) => {
            info!(row_version = version, fencing:% = write.row.fencing; "lease kept over a restoration");
        }
        (true, LeaseWriteOutcome::Lost) => {
            warn!(row_version = version; "lease lost");
        }
        _ => {}
    }
}
