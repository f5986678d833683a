//! The lease as this node observes, acquires and renews it.

use cuminlb_catalog::{SharedRow, StoreError, StoreTable, WriteOutcome};
use cuminlb_fleet::lease::{HeldLease, ObservedLease};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use log::{info, warn};
use smol_str::ToSmolStr;
use tokio::time::Instant;

use super::lease_rows::{LEASE_TIMING, lease_key, read_lease};
use crate::gateway::Gateway;

/// The outcome of writing the lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseWriteOutcome {
    /// This node holds the lease.
    Held,
    /// Another node holds it.
    Lost,
    /// The store did not respond.
    Unknown,
}

/// The lease as this node has observed it or holds it.
#[derive(Debug)]
pub(super) struct LeaseState {
    incarnation: Incarnation,
    seen: Option<ObservedLease<StoreVersion>>,
    held: Option<HeldLease<StoreVersion>>,
    /// When the latest write was sent, which may have taken effect without a response.
    sent_at: Option<Instant>,
}

impl LeaseState {
    pub(super) fn new() -> Self {
        Self {
            incarnation: Incarnation(UnixMillis::now().get()),
            seen: None,
            held: None,
            sent_at: None,
        }
    }

    /// Returns the lease that this node holds, whether or not it is still valid.
    pub(super) const fn held(&self) -> Option<HeldLease<StoreVersion>> {
        self.held
    }

    /// Extends the validity of the lease to a later time.
    pub(super) fn extend(&mut self, until: Instant) {
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
        }
    }

    /// Drops the lease without writing its row.
    pub(super) fn clear(&mut self) {
        self.held = None;
        self.seen = None;
    }

    /// Returns whether the lease of another node has ended, so that this node may acquire it.
    pub(super) fn may_acquire(&mut self, gateway: &Gateway, now: Instant) -> bool {
        let Some((row, version)) = read_lease(&gateway.replica) else {
            return gateway.replica.version(StoreTable::Nodes) > StoreVersion::default();
        };
        // The earlier incarnation of this node has ended, so nobody acts on its lease.
        let is_own = row.holder == gateway.settings.id && row.incarnation != self.incarnation;
        let seen = ObservedLease::observe(self.seen.take(), version, row, now);
        let may_acquire = is_own || seen.is_released() || seen.has_expired(now);
        self.seen = Some(seen);
        may_acquire
    }

    /// Acquires or renews the lease; a length of zero releases it.
    pub(super) async fn write(
        &mut self,
        gateway: &Gateway,
        length_ms: Millis,
    ) -> LeaseWriteOutcome {
        let (expected, fencing) = match (&self.held, &self.seen) {
            (Some(held), _) => (held.version, held.fencing),
            (None, Some(seen)) => (seen.version, seen.row.fencing.next()),
            (None, None) => (StoreVersion::default(), FencingNumber(1)),
        };
        let row = LeaseRow {
            holder: gateway.settings.id.clone(),
            incarnation: self.incarnation,
            fencing,
            length_ms,
            idle: length_ms == Millis(0),
        };
        let (Some(key), Ok(value)) = (lease_key(), serde_json::to_vec(&row)) else {
            warn!("failed to encode the lease row");
            return LeaseWriteOutcome::Lost;
        };
        let sent_at = Instant::now();
        let store = &gateway.edges.store;
        let outcome = store.write(StoreTable::Nodes, &key, expected, &value).await;
        let previous_sent_at = self.sent_at.replace(sent_at);
        match outcome {
            Ok(WriteOutcome::Written { version }) => {
                if self.held.is_none() {
                    info!(row_version:% = version, fencing:% = fencing; "lease taken");
                }
                self.held = Some(HeldLease::new(fencing, version, sent_at, &LEASE_TIMING));
                LeaseWriteOutcome::Held
            }
            Ok(WriteOutcome::Conflict { found }) => {
                self.handle_conflict(found, &row, previous_sent_at.unwrap_or(sent_at))
            }
            Err(error) => {
                self.log_failure(&error);
                LeaseWriteOutcome::Unknown
            }
        }
    }

    /// Handles a row that was not as expected. Either another node holds the lease, or an earlier
    /// write of this node took effect although its response was lost.
    fn handle_conflict(
        &mut self,
        found: Option<SharedRow>,
        own: &LeaseRow,
        previous_sent_at: Instant,
    ) -> LeaseWriteOutcome {
        let lease = found
            .as_ref()
            .and_then(|row| serde_json::from_slice::<LeaseRow>(row.value.as_deref()?).ok());
        let version = found.map(|row| row.version);
        match (version, lease) {
            (Some(version), Some(lease))
                if lease.holder == own.holder && lease.incarnation == own.incarnation =>
            {
                let timing = &LEASE_TIMING;
                let held = HeldLease::new(lease.fencing, version, previous_sent_at, timing);
                self.held = Some(held);
                LeaseWriteOutcome::Held
            }
            (version, _) => {
                if self.held.is_some() {
                    let version = version.map(|version| version.to_smolstr());
                    warn!(row_version = version.as_deref(); "lease lost");
                }
                self.clear();
                LeaseWriteOutcome::Lost
            }
        }
    }

    fn log_failure(&self, error: &StoreError) {
        warn!(is_held = self.held.is_some(); "the lease was not written: {error}");
    }
}
