//! The row of the leader's lease.

use cuminlb_catalog::StoreTable;
use cuminlb_fleet::lease::LeaseTiming;
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use log::warn;

use crate::knowledge::Knowledge;

/// The key of the row.
const LEASE_KEY: &str = "lease/leader";

/// The length of the lease: a leader that dies is replaced this long after its last renewal.
pub(super) const LEASE_TERMS: LeaseTiming = LeaseTiming {
    length_ms: Millis(1_800),
    margin_ms: Millis(300),
};

/// Returns the key of the row.
pub(super) fn lease_key() -> Option<RowKey> {
    LEASE_KEY.parse().ok()
}

/// Returns the lease as this node knows it, with the version of its row.
pub(super) fn lease_in(knowledge: &Knowledge) -> Option<(LeaseRow, RowVersion)> {
    let row = knowledge.row(StoreTable::Nodes, &lease_key()?)?;
    match serde_json::from_slice(row.value.as_deref().unwrap_or_default()) {
        Ok(lease) => Some((lease, row.version)),
        Err(error) => {
            warn!("the leader's lease can't be read: {error}");
            None
        }
    }
}

/// Returns the node that leads, as far as this node knows.
pub(crate) fn leader_in(knowledge: &Knowledge) -> Option<NodeId> {
    let (lease, _) = lease_in(knowledge)?;
    (lease.length_ms > Millis(0)).then_some(lease.holder)
}
