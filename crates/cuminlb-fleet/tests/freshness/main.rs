//! Simulates nodes under partitions, pauses, restarts, delays and clock drift, and checks the
//! rules of [`cuminlb_fleet::freshness`].
#![allow(
    clippy::expect_used,
    clippy::unwrap_used,
    clippy::panic,
    unreachable_pub,
    reason = "a test fails by panicking"
)]

mod message;
mod message_handlers;
mod model_node;
mod periodic_actions;
mod scenarios;
mod simulation;

use std::cell::Cell;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use self::simulation::{BOUNDS, Counters, Simulation};

/// The largest drift of a clock, fast or slow, in parts per million.
const MAX_DRIFT_PPM: i64 = 10_000;

/// A fault, a recovery or an operator's action that the test injects.
#[derive(Clone, Copy, Debug)]
enum Event {
    TableReachable { node: usize, is_up: bool },
    TableReachableForAll { is_up: bool },
    BlockLink { from: usize, to: usize },
    BlockLinks { mask: u64 },
    UnblockLinks,
    ConfigPull { node: usize, works: bool },
    Pause { node: usize, ticks: u64 },
    Restart { node: usize },
    Delay { ticks: u64 },
    Apply { node: usize },
}

fn event() -> impl Strategy<Value = Event> {
    let node = || 0..8_usize;
    prop_oneof![
        3 => (node(), any::<bool>())
            .prop_map(|(node, is_up)| Event::TableReachable { node, is_up }),
        3 => any::<bool>().prop_map(|is_up| Event::TableReachableForAll { is_up }),
        2 => (node(), node()).prop_map(|(from, to)| Event::BlockLink { from, to }),
        2 => any::<u64>().prop_map(|mask| Event::BlockLinks { mask }),
        1 => Just(Event::UnblockLinks),
        1 => (node(), any::<bool>()).prop_map(|(node, works)| Event::ConfigPull { node, works }),
        2 => (node(), 1..300_u64).prop_map(|(node, ticks)| Event::Pause { node, ticks }),
        1 => node().prop_map(|node| Event::Restart { node }),
        2 => (0..4_u64).prop_map(|ticks| Event::Delay { ticks }),
        3 => node().prop_map(|node| Event::Apply { node }),
    ]
}

fn apply_event(sim: &mut Simulation, event: Event) {
    let count = sim.nodes.len();
    match event {
        Event::TableReachable { node, is_up } => sim.nodes[node % count].reaches_table = is_up,
        Event::TableReachableForAll { is_up } => {
            for node in &mut sim.nodes {
                node.reaches_table = is_up;
            }
        }
        Event::BlockLink { from, to } => sim.block_link(from % count, to % count),
        Event::BlockLinks { mask } => {
            sim.unblock_links();
            let is_blocked = |link: &usize| mask >> link & 1 == 1;
            for link in (0..count * count).filter(is_blocked) {
                sim.block_link(link / count, link % count);
            }
        }
        Event::UnblockLinks => sim.unblock_links(),
        Event::ConfigPull { node, works } => sim.nodes[node % count].can_pull_config = works,
        Event::Pause { node, ticks } => sim.pause(node % count, ticks),
        Event::Restart { node } => sim.nodes[node % count].restart(BOUNDS),
        Event::Delay { ticks } => sim.delay_ticks = ticks,
        Event::Apply { node } => sim.start_apply(node % count),
    }
}

/// Advances the simulation by `ticks`.
fn run(sim: &mut Simulation, ticks: u64) -> Result<(), TestCaseError> {
    for _ in 0..ticks {
        sim.step().map_err(TestCaseError::fail)?;
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
fn at_most_one_lease_holder_and_no_node_acts_on_a_replaced_config() {
    let clocks = proptest::collection::vec(-MAX_DRIFT_PPM..=MAX_DRIFT_PPM, 2..7);
    let events = proptest::collection::vec((event(), 1..160_u64), 1..40);
    let total = Cell::new(Counters::default());
    runner()
        .run(&(clocks, events), |(clocks, events)| {
            let mut sim = Simulation::new(&clocks);
            run(&mut sim, 200)?;
            for (event, ticks) in events {
                apply_event(&mut sim, event);
                run(&mut sim, ticks)?;
            }
            let (sum, counters) = (total.get(), sim.counters);
            total.set(Counters {
                takeovers: sum.takeovers + counters.takeovers,
                extended_holders: sum.extended_holders + counters.extended_holders,
                replaced: sum.replaced + counters.replaced,
                extended_nodes: sum.extended_nodes + counters.extended_nodes,
            });
            Ok(())
        })
        .unwrap();
    let total = total.get();
    assert!(total.takeovers > 0 && total.replaced > 0, "{total:?}");
    assert!(
        total.extended_nodes > 0 && total.extended_holders > 0,
        "{total:?}"
    );
}
