//! Properties of the slot ledger under sequences of operations and faults.
#![allow(
    unreachable_pub,
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails by panicking"
)]

mod asker;
mod asks;
mod op;
mod request;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

use crate::op::{Op, ops};
use crate::world::World;

fn config() -> Config {
    Config {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(0x5107),
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// No grant ever brings the requests that run, or may still start, above the limit.
    #[test]
    fn the_sum_over_all_nodes_stays_within_the_limit(ops in ops()) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
            prop_assert!(world.overrun.is_none(), "{:?}", world.overrun);
        }
    }

    /// Whatever was lost, every slot can be granted again once the requests have ended.
    #[test]
    fn no_slot_leaks(ops in ops()) {
        let mut world = World::new();
        for op in ops {
            world.apply(op);
        }
        world.settle();
        prop_assert_eq!(world.grantable(), world.limit());
    }
}

/// A cold limit that is reached is not passed, and is free again after the releases.
#[test]
fn a_full_group_grants_again_after_a_release() {
    let mut world = World::new();
    for _ in 0..20 {
        world.apply(Op::Ask {
            node: 0,
            send_ms: 1,
            run_ms: 100,
        });
    }
    assert_eq!(world.outstanding(), world.limit());
    world.apply(Op::Advance { by_ms: 200 });
    assert_eq!(world.outstanding(), 0);
    assert_eq!(world.grantable(), world.limit());
}

/// A renewal makes up for releases that were lost, without any report of the engine.
#[test]
fn a_renewal_gives_lost_slots_back() {
    let mut world = World::new();
    world.apply(Op::LoseReleases {
        node: 1,
        lost: true,
    });
    for _ in 0..world.limit() {
        world.apply(Op::Ask {
            node: 1,
            send_ms: 1,
            run_ms: 100,
        });
    }
    world.apply(Op::Advance { by_ms: 200 });
    assert_eq!(world.grantable(), 0);
    world.apply(Op::Renew { node: 1 });
    world.apply(Op::Advance { by_ms: 1_001 });
    assert_eq!(world.grantable(), world.limit());
}
