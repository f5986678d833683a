//! Rows, versions and candidates of the tests.

use cuminlb_fleet::lease::{LeaseAnswer, LeaseCandidate, LeaseTiming, LeaseWrite};
use cuminlb_types::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

/// The seed of the random cases.
const SEED: u64 = 0x0e90_c4a5;

pub const TIMING: LeaseTiming = LeaseTiming {
    length_ms: Millis(1_800),
    margin_ms: Millis(300),
};

/// How long a holder extends its lease while the store is unavailable to all nodes.
pub const MAX_EXTENSION_MS: Millis = Millis(700);

pub fn node_id(number: usize) -> NodeId {
    format!("n{number}").parse().unwrap()
}

/// Returns the state of a node that has just started, for the `start`th time.
pub fn candidate(number: usize, start: u64) -> LeaseCandidate {
    LeaseCandidate::new(
        node_id(number),
        Incarnation(start),
        TIMING,
        MAX_EXTENSION_MS,
    )
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

/// Returns the answer that a row written by `write` was found at a version.
pub fn found(write: &LeaseWrite, version: StoreVersion) -> LeaseAnswer {
    LeaseAnswer::Conflict {
        found: Some(write.row.clone()),
        version,
    }
}
