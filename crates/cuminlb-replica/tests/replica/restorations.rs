//! All nodes enter the era of a restored store, in time and whole, whoever hears of it first.

use std::time::Duration;

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};

use crate::large_catalog::large_catalog;
use crate::simulated_fleet::{SimulatedFleet, key, node_id};

/// The time within which a change must be known everywhere.
const BOUND_MS: Millis = Millis(2_000);

/// How much longer it may take while the store does not serve everyone.
const MAX_STRETCH: Duration = Duration::from_secs(6);

/// The number of nodes, all of which have slow links.
const NODES: usize = 40;

/// The number of writes between a copy and the restoration.
const LOST_WRITES: usize = 12;

/// The nodes of the target, of which some have fast links, its instances, and the bound.
const TARGET_NODES: usize = 370;
const TARGET_FAST_NODES: usize = 15;
const TARGET_INSTANCES: usize = 730;
const TARGET_BOUND_MS: Millis = Millis(5_000);

/// Length of the row of an instance.
const INSTANCE_BYTES: usize = 300;

const INSTANCES: StoreTable = StoreTable::Instances;

/// Writes a small row and returns its version.
fn put(fleet: &SimulatedFleet, table: StoreTable, name: &str) -> StoreVersion {
    fleet.rows.put(table, &key(name), Some(vec![7; 100]))
}

/// Writes a catalog and waits until every node has it.
async fn settle_catalog(fleet: &SimulatedFleet, seed: u64) {
    let value = Some(large_catalog(seed, 600));
    let start = Instant::now();
    let catalog = key("config");
    let version = fleet.rows.put(StoreTable::Desired, &catalog, value);
    fleet
        .slowest_arrival(StoreTable::Desired, &catalog, version, start)
        .await;
}

/// Writes rows of all tables that a later restoration loses.
async fn write_lost_rows(fleet: &SimulatedFleet) {
    for number in 0..LOST_WRITES {
        for table in StoreTable::ALL {
            put(fleet, table, &format!("lost-{number}"));
        }
    }
    sleep(BOUND_MS.duration()).await;
}

/// Writes a row and returns how long it takes to reach every node.
async fn spread(fleet: &SimulatedFleet, name: &str) -> Duration {
    let start = Instant::now();
    let version = put(fleet, INSTANCES, name);
    let row_key = key(name);
    fleet
        .slowest_arrival(INSTANCES, &row_key, version, start)
        .await
}

#[tokio::test(start_paused = true)]
async fn news_of_a_restored_store_reach_all_nodes_and_lost_rows_are_removed() {
    let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
    settle_catalog(&fleet, 1).await;
    put(&fleet, INSTANCES, "kept");
    sleep(BOUND_MS.duration()).await;
    let copy = fleet.rows.copy();
    write_lost_rows(&fleet).await;
    fleet.rows.restore(&copy);
    let slowest = spread(&fleet, "after").await;
    assert!(slowest < BOUND_MS.duration(), "{slowest:?}");
    sleep(BOUND_MS.duration()).await;
    fleet.assert_current();
    for node in fleet.nodes.values() {
        assert_eq!(node.process().sink.restorations(INSTANCES), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn versions_that_have_caught_up_with_the_lost_ones_hide_no_row() {
    let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
    let copy = fleet.rows.copy();
    write_lost_rows(&fleet).await;
    fleet.refuse_store(|_| true);
    sleep(Duration::from_secs(1)).await;
    fleet.rows.restore(&copy);
    put(&fleet, INSTANCES, "early");
    for _ in 0..LOST_WRITES * 4 {
        put(&fleet, StoreTable::Nodes, "other");
    }
    fleet.refuse_store(|_| false);
    sleep(BOUND_MS.duration() * 2).await;
    fleet.assert_current();
}

#[tokio::test(start_paused = true)]
async fn nodes_that_were_paused_over_two_restorations_follow() {
    let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
    settle_catalog(&fleet, 1).await;
    let copy = fleet.rows.copy();
    write_lost_rows(&fleet).await;
    let mut paused = fleet.best_relays(1);
    paused.push(node_id(7));
    for node in &paused {
        fleet.set_paused(node, true);
    }
    for round in 0..2 {
        fleet.rows.restore(&copy);
        sleep(Duration::from_millis(700)).await;
        put(&fleet, INSTANCES, &format!("round-{round}"));
        sleep(Duration::from_millis(1_900)).await;
    }
    for node in &paused {
        fleet.set_paused(node, false);
    }
    let slowest = spread(&fleet, "after").await;
    assert!(slowest < BOUND_MS.duration(), "{slowest:?}");
    sleep(BOUND_MS.duration()).await;
    fleet.assert_current();
}

#[tokio::test(start_paused = true)]
async fn nodes_that_the_store_refuses_enter_the_era_of_others() {
    let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
    settle_catalog(&fleet, 1).await;
    let copy = fleet.rows.copy();
    write_lost_rows(&fleet).await;
    let served = [node_id(5), node_id(21)];
    fleet.refuse_store(|node| !served.contains(node));
    fleet.rows.restore(&copy);
    let slowest = spread(&fleet, "after").await;
    assert!(slowest < BOUND_MS.duration() + MAX_STRETCH, "{slowest:?}");
    sleep(MAX_STRETCH).await;
    fleet.assert_current();
}

#[tokio::test(start_paused = true)]
async fn a_catalog_that_the_restored_store_has_unchanged_is_not_transferred_again() {
    let fleet = SimulatedFleet::start(NODES, 0, BOUND_MS).await;
    settle_catalog(&fleet, 1).await;
    let copy = fleet.rows.copy();
    write_lost_rows(&fleet).await;
    fleet.rows.restore(&copy);
    let slowest = spread(&fleet, "after").await;
    assert!(slowest < BOUND_MS.duration(), "{slowest:?}");
    for node in fleet.nodes.values() {
        let process = node.process();
        assert_eq!(process.replica().first_pending(), None);
        assert!(
            process
                .replica()
                .row(StoreTable::Desired, &key("config"))
                .is_some()
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_nodes_of_the_target_have_news_of_a_restored_store_in_time() {
    let fleet = SimulatedFleet::start(TARGET_NODES, TARGET_FAST_NODES, TARGET_BOUND_MS).await;
    settle_catalog(&fleet, 1).await;
    for number in 0..TARGET_INSTANCES {
        let value = Some(vec![7; INSTANCE_BYTES]);
        fleet
            .rows
            .put(INSTANCES, &key(&format!("i-{number}")), value);
    }
    for number in 0..TARGET_NODES {
        put(&fleet, StoreTable::Nodes, &format!("node/{number}"));
    }
    sleep(TARGET_BOUND_MS.duration() * 2).await;
    let copy = fleet.rows.copy();
    write_lost_rows(&fleet).await;
    fleet.rows.restore(&copy);
    let slowest = spread(&fleet, "after").await;
    assert!(slowest < TARGET_BOUND_MS.duration(), "{slowest:?}");
}
