//! The store row of the leader's lease.

use cuminlb_catalog::{SharedRow, StoreTable};
use cuminlb_fleet::lease::LeaseTiming;
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_replica::Replica;
use cuminlb_types::prelude::*;
use log::warn;

/// The key of the lease row.
const LEASE_KEY: &str = "lease/leader";

/// Timing of the lease. A failed leader is replaced after `length_ms` since its last renewal.
pub(super) const LEASE_TIMING: LeaseTiming = LeaseTiming {
    length_ms: Millis(1_800),
    margin_ms: Millis(300),
};

/// How long a lease remains valid, from the check that found the store unavailable to all nodes.
pub(super) const MAX_EXTENSION_MS: Millis = Millis(700);

/// Returns the key of the lease row.
pub(super) fn lease_key() -> Option<RowKey> {
    LEASE_KEY.parse().ok()
}

/// Returns whether a key is that of the lease row.
pub(crate) fn is_lease_key(key: &RowKey) -> bool {
    key.as_str() == LEASE_KEY
}

/// Returns the lease that a row holds, unless the row is removed or can't be decoded.
pub(crate) fn decode_lease(row: &SharedRow) -> Option<LeaseRow> {
    match serde_json::from_slice(row.value.as_deref()?) {
        Ok(lease) => Some(lease),
        Err(error) => {
            warn!("failed to decode the leader's lease: {error}");
            None
        }
    }
}

/// Returns the lease as this node knows it, with the version of its row.
pub(super) fn read_lease(replica: &Replica) -> Option<(LeaseRow, StoreVersion)> {
    let row = replica.row(StoreTable::Nodes, &lease_key()?)?;
    Some((decode_lease(&row)?, row.version))
}

/// Returns the version of the lease's row if it exists but can't be decoded.
pub(super) fn unreadable_lease(replica: &Replica) -> Option<StoreVersion> {
    let row = replica.row(StoreTable::Nodes, &lease_key()?)?;
    let value = row.value.as_deref()?;
    let is_unreadable = serde_json::from_slice::<LeaseRow>(value).is_err();
    is_unreadable.then_some(row.version)
}
