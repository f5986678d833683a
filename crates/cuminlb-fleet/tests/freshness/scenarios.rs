//! Scenarios, each of which depends on one mechanism.

use cuminlb_types::prelude::*;

use crate::simulation::{BOUNDS, Simulation, TICK_MS};
use crate::{Event, MAX_DRIFT_PPM, apply_event, run};

/// Enough ticks for the lease to be acquired and for every time bound to pass.
const SETTLE_TICKS: u64 = 800;

/// Partitions a node from all others in both directions.
fn partition_node(sim: &mut Simulation, node: usize) {
    for other in 0..sim.nodes.len() {
        sim.block_link(node, other);
        sim.block_link(other, node);
    }
}

/// Starts an outage of the table for three nodes, in which a witness keeps the right of the lease
/// holder to act extended. Returns the simulation, the holder, the witness and the third node.
///
/// The holder and the third node can call the witness but not each other, and the witness can
/// call neither. No node can pull a configuration.
fn outage_with_extended_holder() -> (Simulation, usize, usize, usize) {
    let mut sim = Simulation::new(&[0, 0, 0]);
    run(&mut sim, SETTLE_TICKS).unwrap();
    let holder = sim.nodes.iter().position(|node| node.lease.is_some());
    let holder = holder.unwrap();
    let (witness, third) = ((holder + 1) % 3, (holder + 2) % 3);
    apply_event(&mut sim, Event::TableReachableForAll { is_up: false });
    for (from, to) in [
        (holder, third),
        (third, holder),
        (witness, third),
        (witness, holder),
    ] {
        sim.block_link(from, to);
    }
    for node in &mut sim.nodes {
        node.can_pull_config = false;
    }
    run(&mut sim, SETTLE_TICKS).unwrap();
    assert!(sim.nodes[holder].holds_lease(sim.now(holder)));
    assert!(sim.nodes[holder].freshness.is_confirmed(sim.now(holder)));
    (sim, holder, witness, third)
}

#[test]
fn takeover_ends_the_outage_extension_of_a_partitioned_holder() {
    let (mut sim, holder, _, third) = outage_with_extended_holder();
    let takeovers_before = sim.counters.takeovers;
    sim.nodes[third].reaches_table = true;
    run(&mut sim, SETTLE_TICKS).unwrap();
    assert_eq!(sim.counters.takeovers, takeovers_before + 1);
    assert!(sim.nodes[third].holds_lease(sim.now(third)));
    assert!(!sim.nodes[holder].holds_lease(sim.now(holder)));
}

#[test]
fn node_that_notifies_too_few_nodes_does_not_take_over() {
    let (mut sim, holder, witness, third) = outage_with_extended_holder();
    let takeovers_before = sim.counters.takeovers;
    sim.block_link(third, witness);
    sim.nodes[third].reaches_table = true;
    run(&mut sim, SETTLE_TICKS).unwrap();
    assert_eq!(sim.counters.takeovers, takeovers_before);
    assert!(sim.nodes[holder].holds_lease(sim.now(holder)));
}

#[test]
fn node_that_pauses_after_its_read_does_not_take_over() {
    let (mut sim, holder, _, third) = outage_with_extended_holder();
    let takeovers_before = sim.counters.takeovers;
    sim.nodes[third].reaches_table = true;
    sim.delay_ticks = 2;
    for _ in 0..100 {
        run(&mut sim, 3).unwrap();
        sim.pause(third, 80);
        run(&mut sim, 80).unwrap();
    }
    assert_eq!(sim.counters.takeovers, takeovers_before);
    assert!(sim.nodes[holder].holds_lease(sim.now(holder)));
}

#[test]
fn node_that_knows_a_newer_config_does_not_extend_an_older_one() {
    let (mut sim, holder, _, third) = outage_with_extended_holder();
    sim.nodes[third].reaches_table = true;
    apply_event(&mut sim, Event::Apply { node: third });
    run(&mut sim, SETTLE_TICKS).unwrap();
    assert_eq!(sim.counters.replaced, 1);
    sim.nodes[third].reaches_table = false;
    partition_node(&mut sim, third);
    for _ in 0..SETTLE_TICKS {
        run(&mut sim, 1).unwrap();
        assert!(!sim.nodes[holder].freshness.is_confirmed(sim.now(holder)));
    }
}

#[test]
fn relayed_read_does_not_confirm_an_older_config() {
    let mut sim = Simulation::new(&[0, 0, 0]);
    run(&mut sim, SETTLE_TICKS).unwrap();
    sim.nodes[2].reaches_table = false;
    sim.nodes[2].can_pull_config = false;
    apply_event(&mut sim, Event::Apply { node: 0 });
    run(&mut sim, SETTLE_TICKS).unwrap();
    assert!(sim.nodes[2].config < sim.nodes[0].config);
    assert!(!sim.nodes[2].freshness.is_confirmed(sim.now(2)));
}

#[test]
fn outage_for_all_nodes_stops_no_node_and_no_holder() {
    let mut sim = Simulation::new(&[0, MAX_DRIFT_PPM, -MAX_DRIFT_PPM, 0, 0]);
    run(&mut sim, 400).unwrap();
    let holder = sim.nodes.iter().position(|node| node.lease.is_some());
    let holder = holder.unwrap();
    apply_event(&mut sim, Event::TableReachableForAll { is_up: false });
    for tick in 0..60_000 / TICK_MS {
        run(&mut sim, 1).unwrap();
        for node in 0..sim.nodes.len() {
            let now = sim.now(node);
            let is_confirmed = sim.nodes[node].freshness.is_confirmed(now);
            assert!(is_confirmed, "node {node} stopped at tick {tick}");
        }
        assert!(
            sim.nodes[holder].holds_lease(sim.now(holder)),
            "lease lost at tick {tick}"
        );
    }
}

#[test]
fn partitioned_node_stops_within_the_freshness_bound() {
    let mut sim = Simulation::new(&[0, 0, 0]);
    run(&mut sim, 400).unwrap();
    sim.nodes[2].reaches_table = false;
    partition_node(&mut sim, 2);
    let bound_ticks = (BOUNDS.freshness_ms + Millis(TICK_MS)).get() / TICK_MS;
    run(&mut sim, bound_ticks + 1).unwrap();
    for _ in 0..2_000 {
        run(&mut sim, 1).unwrap();
        assert!(!sim.nodes[2].freshness.is_confirmed(sim.now(2)));
        assert!(!sim.nodes[2].holds_lease(sim.now(2)));
    }
}

#[test]
fn node_without_table_access_continues_and_pulls_new_configs() {
    let mut sim = Simulation::new(&[0, 0, 0]);
    run(&mut sim, 400).unwrap();
    sim.nodes[2].reaches_table = false;
    run(&mut sim, 400).unwrap();
    apply_event(&mut sim, Event::Apply { node: 0 });
    for _ in 0..400 {
        run(&mut sim, 1).unwrap();
        assert!(sim.nodes[2].freshness.is_confirmed(sim.now(2)));
    }
    assert_eq!(sim.nodes[2].config, sim.nodes[0].config);
}
