//! The standing of nodes, under partitions, pauses, restarts, delays and clocks that run apart.
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod acting;
mod handling;
mod message;
mod model_node;
mod scenarios;
mod world;

use std::cell::Cell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use self::world::{BOUNDS, Seen, World};

/// The most by which a clock runs fast or slow, in parts per million.
const MAX_DRIFT_PPM: i64 = 10_000;

/// A change of the surroundings.
#[derive(Clone, Copy, Debug)]
enum Change {
    Table { node: usize, is_up: bool },
    TableForAll { is_up: bool },
    Cut { from: usize, to: usize },
    CutMany { links: u64 },
    Rejoin,
    Pulls { node: usize, works: bool },
    Pause { node: usize, ticks: u64 },
    Restart { node: usize },
    Delay { ticks: u64 },
    Apply { node: usize },
}

fn change() -> impl Strategy<Value = Change> {
    let node = || 0..8_usize;
    prop_oneof![
        3 => (node(), any::<bool>()).prop_map(|(node, is_up)| Change::Table { node, is_up }),
        3 => any::<bool>().prop_map(|is_up| Change::TableForAll { is_up }),
        2 => (node(), node()).prop_map(|(from, to)| Change::Cut { from, to }),
        2 => any::<u64>().prop_map(|links| Change::CutMany { links }),
        1 => Just(Change::Rejoin),
        1 => (node(), any::<bool>()).prop_map(|(node, works)| Change::Pulls { node, works }),
        2 => (node(), 1..300_u64).prop_map(|(node, ticks)| Change::Pause { node, ticks }),
        1 => node().prop_map(|node| Change::Restart { node }),
        2 => (0..4_u64).prop_map(|ticks| Change::Delay { ticks }),
        3 => node().prop_map(|node| Change::Apply { node }),
    ]
}

fn make(world: &mut World, change: Change) {
    let count = world.nodes.len();
    match change {
        Change::Table { node, is_up } => world.nodes[node % count].reaches_table = is_up,
        Change::TableForAll { is_up } => {
            for node in &mut world.nodes {
                node.reaches_table = is_up;
            }
        }
        Change::Cut { from, to } => world.cut(from % count, to % count),
        Change::CutMany { links } => {
            world.rejoin();
            let is_cut = |link: &usize| links >> link & 1 == 1;
            for link in (0..count * count).filter(is_cut) {
                world.cut(link / count, link % count);
            }
        }
        Change::Rejoin => world.rejoin(),
        Change::Pulls { node, works } => world.nodes[node % count].pulls_config = works,
        Change::Pause { node, ticks } => world.pause(node % count, ticks),
        Change::Restart { node } => world.nodes[node % count].restart(BOUNDS),
        Change::Delay { ticks } => world.delay_ticks = ticks,
        Change::Apply { node } => world.apply(node % count),
    }
}

/// Lets time go on.
fn run(world: &mut World, ticks: u64) -> Result<(), TestCaseError> {
    for _ in 0..ticks {
        world.step().map_err(TestCaseError::fail)?;
    }
    Ok(())
}

fn runner() -> TestRunner {
    let config = Config {
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    TestRunner::new_with_rng(config, rng)
}

#[test]
fn one_holder_at_most_and_no_node_acts_on_a_replaced_configuration() {
    let clocks = proptest::collection::vec(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM, 2..7);
    let changes = proptest::collection::vec((change(), 1..160_u64), 1..40);
    let total = Cell::new(Seen::default());
    runner()
        .run(&(clocks, changes), |(clocks, changes)| {
            let mut world = World::new(&clocks);
            run(&mut world, 200)?;
            for (change, ticks) in changes {
                make(&mut world, change);
                run(&mut world, ticks)?;
            }
            let (sum, seen) = (total.get(), world.seen);
            total.set(Seen {
                takeovers: sum.takeovers + seen.takeovers,
                covered_holders: sum.covered_holders + seen.covered_holders,
                replaced: sum.replaced + seen.replaced,
                covered: sum.covered + seen.covered,
            });
            Ok(())
        })
        .unwrap();
    let total = total.get();
    assert!(total.takeovers > 0 && total.replaced > 0, "{total:?}");
    assert!(total.covered > 0 && total.covered_holders > 0, "{total:?}");
}
