//! Rows, versions and candidates of the tests.

use cuminlb_fleet::lease::{LeaseCandidate, LeaseTiming};
use cuminlb_types::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// The seed of the random cases.
const SEED: u64 = 0x0e90_c4a5;

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

/// Returns a runner of random cases.
pub fn runner() -> TestRunner {
    TestRunner::new(Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..Config::default()
    })
}
