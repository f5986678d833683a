//! [`Leadership`].

use cuminlb_catalog::{StoreTable, WriteOutcome};
use cuminlb_fleet::lease::{HeldLease, SeenLease};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::lease_rows::{LEASE_TERMS, lease_in, lease_key};
use crate::gateway::Gateway;

/// This node's part in who leads.
#[derive(Debug)]
pub(super) struct Leadership {
    incarnation: Incarnation,
    seen: Option<SeenLease>,
    held: Option<HeldLease>,
}

impl Leadership {
    pub(super) fn new() -> Self {
        Self {
            incarnation: Incarnation(UnixMillis::now().get()),
            seen: None,
            held: None,
        }
    }

    /// Returns the lease while this node may act on it.
    pub(super) fn valid(&self, now: Instant) -> Option<HeldLease> {
        self.held.filter(|held| held.is_valid(now))
    }

    /// Tells whether this node has the lease, valid or not.
    pub(super) const fn is_held(&self) -> bool {
        self.held.is_some()
    }

    /// Tells whether another node's lease is over, so that this node may take it.
    pub(super) fn may_take(&mut self, gateway: &Gateway, now: Instant) -> bool {
        let Some((row, version)) = lease_in(&gateway.knowledge) else {
            return gateway.knowledge.version(StoreTable::Nodes) > RowVersion(0);
        };
        // An earlier start of this node has ended, so nobody acts on its lease.
        let is_own = row.holder == gateway.settings.id && row.incarnation != self.incarnation;
        let seen = SeenLease::note(self.seen.take(), version, row, now);
        let may_take = is_own || seen.is_released() || seen.has_lapsed(now);
        self.seen = Some(seen);
        may_take
    }

    /// Takes the lease or extends it; returns whether this node has it then.
    pub(super) async fn write(&mut self, gateway: &Gateway, length_ms: Millis) -> bool {
        let expected = match (&self.held, &self.seen) {
            (Some(held), _) => held.version,
            (None, Some(seen)) => seen.version,
            (None, None) => RowVersion(0),
        };
        let fencing = match (&self.held, &self.seen) {
            (Some(held), _) => held.fencing,
            (None, Some(seen)) => seen.row.fencing.next(),
            (None, None) => FencingNumber(1),
        };
        let row = LeaseRow {
            holder: gateway.settings.id.clone(),
            incarnation: self.incarnation,
            fencing,
            length_ms,
            idle: length_ms == Millis(0),
        };
        let (Some(key), Ok(value)) = (lease_key(), serde_json::to_vec(&row)) else {
            return false;
        };
        let sent_at = Instant::now();
        let store = &gateway.edges.store;
        match store.write(StoreTable::Nodes, &key, expected, &value).await {
            Ok(WriteOutcome::Written { version }) => {
                if self.held.is_none() {
                    info!(row_version:% = version, fencing:% = fencing; "lease taken");
                }
                self.held = Some(HeldLease::new(fencing, version, sent_at, &LEASE_TERMS));
                true
            }
            Ok(WriteOutcome::Conflict { found }) => {
                let found_lease = found.as_ref().and_then(|row| {
                    serde_json::from_slice::<LeaseRow>(row.value.as_deref()?).ok()
                });
                match (found, found_lease) {
                    // An earlier write of this node took effect although its answer was lost.
                    (Some(found), Some(lease))
                        if lease.holder == row.holder && lease.incarnation == row.incarnation =>
                    {
                        self.held = Some(HeldLease {
                            fencing: lease.fencing,
                            version: found.version,
                            valid_until: sent_at,
                        });
                        true
                    }
                    (found, _) => {
                        let version = found.map(|row| row.version);
                        if self.held.is_some() {
                            warn!(row_version:? = version.map(RowVersion::get); "lease lost");
                        }
                        self.held = None;
                        self.seen = None;
                        false
                    }
                }
            }
            Err(error) => {
                warn!(is_held = self.held.is_some(); "the lease was not written: {error}");
                self.held.is_some()
            }
        }
    }
}
