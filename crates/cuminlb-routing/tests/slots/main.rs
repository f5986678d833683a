//! Properties of the slot ledger under random sequences of operations and faults.
#![allow(
    unreachable_pub,
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod node_state;
mod op;
mod request;
mod simulation;
mod slot_requests;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::op::{Op, ops};
use crate::simulation::Simulation;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5107),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// No grant raises the number of requests that run, or may still start, above the limit.
    #[test]
    fn slots_of_all_nodes_stay_within_limit(ops in ops()) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.apply(op);
            prop_assert!(simulation.limit_violation.is_none(), "{:?}", simulation.limit_violation);
        }
    }

    /// Whatever messages were dropped, all slots can be granted again after the requests ended.
    #[test]
    fn slots_do_not_leak(ops in ops()) {
        let mut simulation = Simulation::new();
        for op in ops {
            simulation.apply(op);
        }
        simulation.settle();
        prop_assert_eq!(simulation.grantable(), simulation.limit());
    }
}

/// Grants stop at the limit, and all slots are available again after the releases.
#[test]
fn full_group_grants_again_after_release() {
    let mut simulation = Simulation::new();
    for _ in 0..20 {
        simulation.apply(Op::RequestSlot {
            node: 0,
            send_ms: 1,
            run_ms: 100,
        });
    }
    assert_eq!(simulation.outstanding(), simulation.limit());
    simulation.apply(Op::Advance { by_ms: 200 });
    assert_eq!(simulation.outstanding(), 0);
    assert_eq!(simulation.grantable(), simulation.limit());
}

/// A renewal frees the slots whose releases were dropped, without a report of the engine.
#[test]
fn renewal_frees_slots_after_dropped_releases() {
    let mut simulation = Simulation::new();
    simulation.apply(Op::SetReleasesDropped {
        node: 1,
        dropped: true,
    });
    for _ in 0..simulation.limit() {
        simulation.apply(Op::RequestSlot {
            node: 1,
            send_ms: 1,
            run_ms: 100,
        });
    }
    simulation.apply(Op::Advance { by_ms: 200 });
    assert_eq!(simulation.grantable(), 0);
    simulation.apply(Op::Renew { node: 1 });
    simulation.apply(Op::Advance { by_ms: 1_001 });
    assert_eq!(simulation.grantable(), simulation.limit());
}
