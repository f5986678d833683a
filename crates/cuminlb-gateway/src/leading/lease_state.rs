//! [`LeaseState`].

use cuminlb_catalog::{SharedRow, StoreError, StoreTable, WriteOutcome};
use cuminlb_fleet::lease::{HeldLease, ObservedLease};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::lease_rows::{LEASE_TERMS, lease_in, lease_key};
use crate::gateway::Gateway;

/// What became of writing the lease's row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LeaseWrite {
    /// This node has the lease.
    Held,
    /// Another node has it.
    Lost,
    /// The store gave no answer.
    Unknown,
}

/// The lease as this node has seen it or holds it.
#[derive(Debug)]
pub(super) struct LeaseState {
    incarnation: Incarnation,
    seen: Option<ObservedLease>,
    held: Option<HeldLease>,
    /// When the newest write was sent, which may have taken effect without an answer.
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

    /// Returns the lease that this node holds, valid or not.
    pub(super) const fn held(&self) -> Option<HeldLease> {
        self.held
    }

    /// Lets the lease be valid until a later time.
    pub(super) fn extend(&mut self, until: Instant) {
        if let Some(held) = &mut self.held {
            held.valid_until = held.valid_until.max(until);
        }
    }

    /// Gives the lease up without writing its row.
    pub(super) fn drop_lease(&mut self) {
        self.held = None;
        self.seen = None;
    }

    /// Tells whether another node's lease is over, so that this node may take it.
    pub(super) fn may_take(&mut self, gateway: &Gateway, now: Instant) -> bool {
        let Some((row, version)) = lease_in(&gateway.knowledge) else {
            return gateway.knowledge.version(StoreTable::Nodes) > RowVersion(0);
        };
        // An earlier start of this node has ended, so nobody acts on its lease.
        let is_own = row.holder == gateway.settings.id && row.incarnation != self.incarnation;
        let seen = ObservedLease::observe(self.seen.take(), version, row, now);
        let may_take = is_own || seen.is_released() || seen.has_expired(now);
        self.seen = Some(seen);
        may_take
    }

    /// Takes the lease or extends it.
    pub(super) async fn write(&mut self, gateway: &Gateway, length_ms: Millis) -> LeaseWrite {
        let (expected, fencing) = match (&self.held, &self.seen) {
            (Some(held), _) => (held.version, held.fencing),
            (None, Some(seen)) => (seen.version, seen.row.fencing.next()),
            (None, None) => (RowVersion(0), FencingNumber(1)),
        };
        let row = LeaseRow {
            holder: gateway.settings.id.clone(),
            incarnation: self.incarnation,
            fencing,
            length_ms,
            idle: length_ms == Millis(0),
        };
        let (Some(key), Ok(value)) = (lease_key(), serde_json::to_vec(&row)) else {
            warn!("the row of the lease can't be written");
            return LeaseWrite::Lost;
        };
        let sent_at = Instant::now();
        let store = &gateway.edges.store;
        let outcome = store.write(StoreTable::Nodes, &key, expected, &value).await;
        let earlier_sent_at = self.sent_at.replace(sent_at);
        match outcome {
            Ok(WriteOutcome::Written { version }) => {
                if self.held.is_none() {
                    info!(row_version:% = version, fencing:% = fencing; "lease taken");
                }
                self.held = Some(HeldLease::new(fencing, version, sent_at, &LEASE_TERMS));
                LeaseWrite::Held
            }
            Ok(WriteOutcome::Conflict { found }) => {
                self.meet(found, &row, earlier_sent_at.unwrap_or(sent_at))
            }
            Err(error) => {
                self.note_failure(&error);
                LeaseWrite::Unknown
            }
        }
    }

    /// Takes in that the row was not as expected: it is another node's, or an earlier write of this
    /// node took effect although its answer was lost.
    fn meet(
        &mut self,
        found: Option<SharedRow>,
        own: &LeaseRow,
        earlier_sent_at: Instant,
    ) -> LeaseWrite {
        let lease = found
            .as_ref()
            .and_then(|row| serde_json::from_slice::<LeaseRow>(row.value.as_deref()?).ok());
        let version = found.map(|row| row.version);
        match (version, lease) {
            (Some(version), Some(lease))
                if lease.holder == own.holder && lease.incarnation == own.incarnation =>
            {
                let terms = &LEASE_TERMS;
                let held = HeldLease::new(lease.fencing, version, earlier_sent_at, terms);
                self.held = Some(held);
                LeaseWrite::Held
            }
            (version, _) => {
                if self.held.is_some() {
                    warn!(row_version = version.map(RowVersion::get); "lease lost");
                }
                self.drop_lease();
                LeaseWrite::Lost
            }
        }
    }

    fn note_failure(&self, error: &StoreError) {
        warn!(is_held = self.held.is_some(); "the lease was not written: {error}");
    }
}
