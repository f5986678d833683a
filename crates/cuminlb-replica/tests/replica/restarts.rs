//! Changes reach all nodes in time, and none goes back, while nodes restart, are paused or are lost as a
//! large value is on its way.

use std::time::Duration;

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};

use crate::large_catalog::large_catalog;
use crate::simulated_fleet::{SimulatedFleet, key, node_id};

/// The time within which a change must be known everywhere.
const BOUND_MS: Millis = Millis(2_000);

/// The time after its start within which a node must know a change.
const START_BOUND: Duration = Duration::from_millis(3_000);

/// The number of nodes, all of which have slow links.
const NODES: usize = 65;

/// The time after a change at which a fault happens: some nodes have the value by then, and others know
/// only that it exists.
const FAULT_DELAYS_MS: [u64; 4] = [10, 40, 90, 200];

async fn put_catalog(fleet: &SimulatedFleet, seed: u64) -> (StoreVersion, Instant) {
    let catalog = large_catalog(seed, 1_200);
    let start = Instant::now();
    let version = fleet
        .rows
        .put(StoreTable::Desired, &key("config"), Some(catalog));
    (version, start)
}

async fn slowest(fleet: &SimulatedFleet, version: StoreVersion, start: Instant) -> Duration {
    fleet
        .slowest_arrival(StoreTable::Desired, &key("config"), version, start)
        .await
}

#[tokio::test(start_paused = true)]
async fn a_large_catalog_arrives_when_the_nodes_that_announced_it_are_lost() {
    for delay_ms in FAULT_DELAYS_MS {
        let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
        let relays = fleet.store_followers();
        let (version, start) = put_catalog(&fleet, 1).await;
        sleep(Duration::from_millis(delay_ms)).await;
        for relay in &relays {
            fleet.lose(relay);
        }
        let slowest = slowest(&fleet, version, start).await;
        assert!(slowest < BOUND_MS.duration(), "{delay_ms} ms: {slowest:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_large_catalog_arrives_when_relays_restart_and_followers_join_them() {
    for delay_ms in FAULT_DELAYS_MS {
        let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
        let (first, start) = put_catalog(&fleet, 1).await;
        slowest(&fleet, first, start).await;
        let (version, start) = put_catalog(&fleet, 2).await;
        sleep(Duration::from_millis(delay_ms)).await;
        for relay in &fleet.store_followers() {
            fleet.restart(relay);
        }
        let slowest = slowest(&fleet, version, start).await;
        assert!(slowest < BOUND_MS.duration(), "{delay_ms} ms: {slowest:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn nodes_that_start_while_a_large_catalog_is_on_its_way_have_it_in_time() {
    for delay_ms in FAULT_DELAYS_MS {
        let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
        let (version, _) = put_catalog(&fleet, 1).await;
        sleep(Duration::from_millis(delay_ms)).await;
        for number in (0..NODES).step_by(2) {
            fleet.restart(&node_id(number));
        }
        let restarted_at = Instant::now();
        let slowest = slowest(&fleet, version, restarted_at).await;
        assert!(slowest < START_BOUND, "{delay_ms} ms: {slowest:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn followers_of_paused_relays_have_every_change_in_time_and_none_goes_back() {
    let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
    let relays = fleet.store_followers();
    for round in 0..3 {
        for relay in &relays {
            fleet.set_paused(relay, true);
        }
        let (version, start) = put_catalog(&fleet, round).await;
        sleep(Duration::from_millis(1_900)).await;
        let others: Vec<NodeId> = fleet.nodes.keys().cloned().collect();
        for node in others.iter().filter(|node| !relays.contains(node)) {
            let sink = &fleet.nodes[node].process().sink;
            let arrival = sink.arrival(StoreTable::Desired, &key("config"), version);
            assert!(
                arrival.is_some(),
                "{node} lacks the catalog in round {round}"
            );
        }
        // Meanwhile there is a change that the paused nodes hear of only after they go on.
        let news = fleet
            .rows
            .put(StoreTable::Instances, &key("i-1"), Some(vec![7; 300]));
        sleep(Duration::from_secs(3)).await;
        for relay in &relays {
            fleet.set_paused(relay, false);
        }
        let resumed_at = Instant::now();
        let slowest_catalog = slowest(&fleet, version, start).await;
        let after_pause = (start + slowest_catalog).saturating_duration_since(resumed_at);
        assert!(after_pause < BOUND_MS.duration(), "{after_pause:?}");
        fleet
            .slowest_arrival(StoreTable::Instances, &key("i-1"), news, start)
            .await;
        sleep(Duration::from_secs(6)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_arrives_in_time_while_the_two_best_relays_of_every_zone_are_paused() {
    for seed in 0..4 {
        let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
        let (first, start) = put_catalog(&fleet, seed).await;
        slowest(&fleet, first, start).await;
        sleep(Duration::from_millis(2_000 + seed * 130)).await;
        let paused = fleet.best_relays(2);
        for node in &paused {
            fleet.set_paused(node, true);
        }
        let (version, start) = put_catalog(&fleet, seed + 10).await;
        sleep(BOUND_MS.duration()).await;
        let late: Vec<&NodeId> = fleet
            .nodes
            .iter()
            .filter(|(id, _)| !paused.contains(id))
            .filter(|(_, node)| {
                let sink = &node.process().sink;
                let arrival = sink.arrival(StoreTable::Desired, &key("config"), version);
                arrival.is_none_or(|at| at.duration_since(start) > BOUND_MS.duration())
            })
            .map(|(id, _)| id)
            .collect();
        assert!(late.is_empty(), "seed {seed}: {late:?}");
    }
}

/// Drains, zones that are out, and rows of nodes travel as small rows, beside a large value.
#[tokio::test(start_paused = true)]
async fn small_rows_of_every_table_arrive_in_time_while_relays_restart() {
    for delay_ms in FAULT_DELAYS_MS {
        let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
        put_catalog(&fleet, 1).await;
        let start = Instant::now();
        let written = StoreTable::ALL.map(|table| {
            let version = fleet.rows.put(table, &key("small"), Some(vec![7; 200]));
            (table, version)
        });
        sleep(Duration::from_millis(delay_ms)).await;
        for relay in &fleet.store_followers() {
            fleet.restart(relay);
        }
        for (table, version) in written {
            let slowest = fleet
                .slowest_arrival(table, &key("small"), version, start)
                .await;
            assert!(
                slowest < BOUND_MS.duration(),
                "{table} {delay_ms} ms: {slowest:?}"
            );
        }
    }
}
