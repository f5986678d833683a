//! Single scenarios, each of which needs one mechanism.

use cuminlb_types::prelude::*;

use crate::world::{BOUNDS, TICK_MS, World};
use crate::{Change, MAX_DRIFT_PPM, make, run};

/// Ticks in which every lease is taken and every bound has passed.
const LONG_TICKS: u64 = 800;

/// Cuts a node off from all others in both directions.
fn cut_off(world: &mut World, node: usize) {
    for other in 0..world.nodes.len() {
        world.cut(node, other);
        world.cut(other, node);
    }
}

/// Starts three nodes in an outage for all, and names them: the holder of the lease, a witness
/// that the others can call, and a third. The holder and the third don't reach each other, and
/// the witness calls nobody.
fn covered_by_a_witness() -> (World, usize, usize, usize) {
    let mut world = World::new(&[0, 0, 0]);
    run(&mut world, LONG_TICKS).unwrap();
    let holder = world.nodes.iter().position(|node| node.lease.is_some());
    let holder = holder.unwrap();
    let (witness, third) = ((holder + 1) % 3, (holder + 2) % 3);
    make(&mut world, Change::TableForAll { is_up: false });
    for (from, to) in [
        (holder, third),
        (third, holder),
        (witness, third),
        (witness, holder),
    ] {
        world.cut(from, to);
    }
    for node in &mut world.nodes {
        node.pulls_config = false;
    }
    run(&mut world, LONG_TICKS).unwrap();
    assert!(world.nodes[holder].holds_lease(world.now(holder)));
    assert!(world.nodes[holder].standing.is_confirmed(world.now(holder)));
    (world, holder, witness, third)
}

#[test]
fn a_takeover_ends_the_cover_of_a_holder_that_hears_nothing_of_it() {
    let (mut world, holder, _, third) = covered_by_a_witness();
    let before = world.seen.takeovers;
    world.nodes[third].reaches_table = true;
    run(&mut world, LONG_TICKS).unwrap();
    assert_eq!(world.seen.takeovers, before + 1);
    assert!(world.nodes[third].holds_lease(world.now(third)));
    assert!(!world.nodes[holder].holds_lease(world.now(holder)));
}

#[test]
fn a_node_that_hears_too_few_takes_nothing_over() {
    let (mut world, holder, witness, third) = covered_by_a_witness();
    let before = world.seen.takeovers;
    world.cut(third, witness);
    world.nodes[third].reaches_table = true;
    run(&mut world, LONG_TICKS).unwrap();
    assert_eq!(world.seen.takeovers, before);
    assert!(world.nodes[holder].holds_lease(world.now(holder)));
}

#[test]
fn a_node_that_pauses_after_its_read_takes_nothing_over() {
    let (mut world, holder, _, third) = covered_by_a_witness();
    let before = world.seen.takeovers;
    world.nodes[third].reaches_table = true;
    world.delay_ticks = 2;
    for _ in 0..100 {
        run(&mut world, 3).unwrap();
        world.pause(third, 80);
        run(&mut world, 80).unwrap();
    }
    assert_eq!(world.seen.takeovers, before);
    assert!(world.nodes[holder].holds_lease(world.now(holder)));
}

#[test]
fn a_witness_of_a_new_configuration_covers_no_older_one() {
    let (mut world, holder, _, third) = covered_by_a_witness();
    world.nodes[third].reaches_table = true;
    make(&mut world, Change::Apply { node: third });
    run(&mut world, LONG_TICKS).unwrap();
    assert_eq!(world.seen.replaced, 1);
    world.nodes[third].reaches_table = false;
    cut_off(&mut world, third);
    for _ in 0..LONG_TICKS {
        run(&mut world, 1).unwrap();
        assert!(!world.nodes[holder].standing.is_confirmed(world.now(holder)));
    }
}

#[test]
fn a_relayed_sign_of_the_table_confirms_no_older_configuration() {
    let mut world = World::new(&[0, 0, 0]);
    run(&mut world, LONG_TICKS).unwrap();
    world.nodes[2].reaches_table = false;
    world.nodes[2].pulls_config = false;
    make(&mut world, Change::Apply { node: 0 });
    run(&mut world, LONG_TICKS).unwrap();
    assert!(world.nodes[2].config < world.nodes[0].config);
    assert!(!world.nodes[2].standing.is_confirmed(world.now(2)));
}

#[test]
fn an_outage_for_all_stops_no_node_and_no_holder() {
    let mut world = World::new(&[0, MAX_DRIFT_PPM, -MAX_DRIFT_PPM, 0, 0]);
    run(&mut world, 400).unwrap();
    let holder = world.nodes.iter().position(|node| node.lease.is_some());
    let holder = holder.unwrap();
    make(&mut world, Change::TableForAll { is_up: false });
    for tick in 0..60_000 / TICK_MS {
        run(&mut world, 1).unwrap();
        for node in 0..world.nodes.len() {
            let now = world.now(node);
            let is_confirmed = world.nodes[node].standing.is_confirmed(now);
            assert!(is_confirmed, "node {node} stopped at tick {tick}");
        }
        assert!(
            world.nodes[holder].holds_lease(world.now(holder)),
            "lost at tick {tick}"
        );
    }
}

#[test]
fn a_node_alone_stops_within_the_bound() {
    let mut world = World::new(&[0, 0, 0]);
    run(&mut world, 400).unwrap();
    world.nodes[2].reaches_table = false;
    cut_off(&mut world, 2);
    let bound = (BOUNDS.freshness_ms + Millis(TICK_MS)).get() / TICK_MS;
    run(&mut world, bound + 1).unwrap();
    for _ in 0..2_000 {
        run(&mut world, 1).unwrap();
        assert!(!world.nodes[2].standing.is_confirmed(world.now(2)));
        assert!(!world.nodes[2].holds_lease(world.now(2)));
    }
}

#[test]
fn a_node_that_only_its_peers_reach_goes_on_and_takes_new_configurations() {
    let mut world = World::new(&[0, 0, 0]);
    run(&mut world, 400).unwrap();
    world.nodes[2].reaches_table = false;
    run(&mut world, 400).unwrap();
    make(&mut world, Change::Apply { node: 0 });
    for _ in 0..400 {
        run(&mut world, 1).unwrap();
        assert!(world.nodes[2].standing.is_confirmed(world.now(2)));
    }
    assert_eq!(world.nodes[2].config, world.nodes[0].config);
}
