//! Rows, versions and candidates of the tests.

use cuminlb_fleet::lease::{LeaseCandidate, LeaseTiming};
use cuminlb_types::prelude::*;

pub const TIMING: LeaseTiming = LeaseTiming {
    length_ms: Millis(1_800),
    margin_ms: Millis(300),
};

pub fn node_id(number: usize) -> NodeId {
    format!("n{number}").parse().unwrap()
}

pub fn candidate(number: usize) -> LeaseCandidate {
    LeaseCandidate::new(node_id(number), Incarnation(1), TIMING)
}

pub fn version(era: u64, row: u64) -> StoreVersion {
    StoreVersion::new(StoreEra(era), RowVersion(row))
}
