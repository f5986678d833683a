//! Changes reach all nodes in time, over slow links, while the store serves all nodes, few or none.

use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};

use crate::large_catalog::large_catalog;
use crate::simulated_fleet::{SimulatedFleet, key, node_id};

/// The time within which a change must be known everywhere while the store serves.
const BOUND_MS: Millis = Millis(3_000);

/// How much longer it may take while the store does not serve everyone.
const MAX_STRETCH: Duration = Duration::from_secs(6);

/// The bound of the target, in which 370 nodes have a change of the configuration.
const TARGET_BOUND_MS: Millis = Millis(5_000);

#[tokio::test(start_paused = true)]
async fn a_large_catalog_reaches_all_nodes_in_time_and_does_not_delay_news() {
    let fleet = SimulatedFleet::start(82, 0, BOUND_MS).await;
    let start = Instant::now();
    let catalog = key("config");
    let version = fleet
        .rows
        .put(StoreTable::Desired, &catalog, Some(large_catalog(1, 1_600)));
    sleep(Duration::from_millis(100)).await;
    let news_start = Instant::now();
    let instance = key("i-1");
    let news = fleet
        .rows
        .put(StoreTable::Instances, &instance, Some(vec![7; 300]));
    let slowest = fleet
        .slowest_arrival(StoreTable::Desired, &catalog, version, start)
        .await;
    assert!(slowest < BOUND_MS.duration(), "{slowest:?}");
    let slowest = fleet
        .slowest_arrival(StoreTable::Instances, &instance, news, news_start)
        .await;
    assert!(slowest < BOUND_MS.duration() / 2, "{slowest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_large_catalog_reaches_the_nodes_of_the_target_in_time() {
    let fleet = SimulatedFleet::start(370, 15, TARGET_BOUND_MS).await;
    let start = Instant::now();
    let catalog = key("config");
    let version = fleet
        .rows
        .put(StoreTable::Desired, &catalog, Some(large_catalog(2, 1_600)));
    let slowest = fleet
        .slowest_arrival(StoreTable::Desired, &catalog, version, start)
        .await;
    assert!(slowest < TARGET_BOUND_MS.duration(), "{slowest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_large_catalog_reaches_nodes_that_the_store_refuses() {
    let fleet = SimulatedFleet::start(82, 0, BOUND_MS).await;
    let served = [node_id(5), node_id(40)];
    fleet.refuse_store(|node| !served.contains(node));
    sleep(Duration::from_secs(1)).await;
    let start = Instant::now();
    let catalog = key("config");
    let version = fleet
        .rows
        .put(StoreTable::Desired, &catalog, Some(large_catalog(3, 1_600)));
    let slowest = fleet
        .slowest_arrival(StoreTable::Desired, &catalog, version, start)
        .await;
    assert!(slowest < BOUND_MS.duration() + MAX_STRETCH, "{slowest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_large_catalog_spreads_among_the_nodes_after_the_store_was_lost() {
    let fleet = SimulatedFleet::start(82, 6, BOUND_MS).await;
    let start = Instant::now();
    let catalog = key("config");
    let version = fleet
        .rows
        .put(StoreTable::Desired, &catalog, Some(large_catalog(4, 1_600)));
    // The nodes that follow the store get the catalog; then the store is gone for all.
    sleep(Duration::from_millis(60)).await;
    fleet.refuse_store(|_| true);
    let slowest = fleet
        .slowest_arrival(StoreTable::Desired, &catalog, version, start)
        .await;
    assert!(slowest < BOUND_MS.duration() + MAX_STRETCH, "{slowest:?}");
}

#[tokio::test(start_paused = true)]
async fn a_small_change_of_a_large_catalog_takes_few_bytes_of_the_store() {
    let fleet = SimulatedFleet::start(82, 6, BOUND_MS).await;
    let catalog = key("config");
    let mut value = large_catalog(5, 1_600);
    let first = fleet
        .rows
        .put(StoreTable::Desired, &catalog, Some(value.clone()));
    let start = Instant::now();
    fleet
        .slowest_arrival(StoreTable::Desired, &catalog, first, start)
        .await;
    let before = fleet.rows.bytes.load(Ordering::Relaxed);
    let start = Instant::now();
    value.splice(200_000..200_010, *b"another text of other length");
    let length = value.len() as u64;
    let second = fleet.rows.put(StoreTable::Desired, &catalog, Some(value));
    let slowest = fleet
        .slowest_arrival(StoreTable::Desired, &catalog, second, start)
        .await;
    assert!(slowest < BOUND_MS.duration(), "{slowest:?}");
    let read = fleet.rows.bytes.load(Ordering::Relaxed) - before;
    let followers = fleet.store_followers().len() as u64;
    // The nodes that follow the store read it as a whole, and no other one does.
    assert!(read < length * 4 / 3 * followers + 100_000, "{read} bytes");
}

#[tokio::test(start_paused = true)]
async fn news_reach_all_nodes_in_time_after_the_relays_were_lost() {
    let fleet = SimulatedFleet::start(82, 6, BOUND_MS).await;
    let followers = fleet.store_followers();
    assert!(followers.len() <= 4, "{followers:?}");
    for node in &followers {
        fleet.lose(node);
    }
    let start = Instant::now();
    let instance = key("i-2");
    let version = fleet
        .rows
        .put(StoreTable::Instances, &instance, Some(vec![7; 300]));
    let slowest = fleet
        .slowest_arrival(StoreTable::Instances, &instance, version, start)
        .await;
    assert!(slowest < BOUND_MS.duration(), "{slowest:?}");
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_do_not_grow_with_the_nodes() {
    let mut calls = Vec::new();
    for count in [30, 120] {
        let fleet = SimulatedFleet::start(count, 3, BOUND_MS).await;
        let before = fleet.rows.calls.load(Ordering::Relaxed);
        sleep(Duration::from_secs(10)).await;
        calls.push(fleet.rows.calls.load(Ordering::Relaxed) - before);
    }
    assert!(calls[1] <= calls[0], "{calls:?}");
}

#[tokio::test(start_paused = true)]
async fn an_empty_store_is_not_read_again_and_again() {
    let fleet = SimulatedFleet::start(30, 0, BOUND_MS).await;
    // Each node reads the nodes once; the relays of three zones then wait for changes for a second.
    let calls = fleet.rows.calls.load(Ordering::Relaxed);
    assert!(calls < 200, "{calls} calls in five seconds");
}
