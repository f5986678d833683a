//! All nodes agree after restorations of the store, pauses, refusals and writes at random times.

use std::time::Duration;

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep};

use crate::large_catalog::large_catalog;
use crate::simulated_fleet::{SimulatedFleet, key, node_id};

/// The time within which a change must be known everywhere.
const BOUND_MS: Millis = Millis(2_000);

/// How long after the last fault all nodes may take to recover.
const RECOVERY: Duration = Duration::from_secs(8);

/// The number of nodes, of which some have fast links.
const NODES: usize = 18;
const FAST_NODES: usize = 2;

/// The number of steps of a run, and the longest time between two.
const STEPS: u64 = 30;
const MAX_STEP_MS: u64 = 900;

/// The number of routes of a catalog that is relayed in chunks.
const ROUTES: usize = 300;

/// The seeds of the runs.
const SEEDS: std::ops::Range<u64> = 0..6;

fn catalog(seed: u64) -> Option<Vec<u8>> {
    Some(large_catalog(seed, ROUTES))
}

/// Takes one random step.
fn take_step(fleet: &SimulatedFleet, random: &mut StdRng, step: u64) {
    let name = key(&format!("row-{}", random.random_range(0..6)));
    let table = StoreTable::ALL.choose(random).copied().unwrap();
    match random.random_range(0..9) {
        0 => {
            let copy = fleet.rows.copy();
            fleet.rows.put(table, &name, Some(vec![9; 100]));
            fleet.rows.restore(&copy);
        }
        1 => {
            let share = random.random_range(0.0..1.0);
            let refused = (0..NODES).map(node_id);
            let refused: Vec<NodeId> = refused.filter(|_| random.random_bool(share)).collect();
            fleet.refuse_store(|node| refused.contains(node));
        }
        2 => {
            let node = node_id(random.random_range(0..NODES));
            fleet.set_paused(&node, random.random_bool(0.5));
        }
        3 => {
            let config = key("config");
            fleet.rows.put(StoreTable::Desired, &config, catalog(step));
        }
        4 => {
            fleet.rows.put(table, &name, None);
        }
        _ => {
            fleet.rows.put(table, &name, Some(vec![7; 100]));
        }
    }
}

/// Runs random steps; every few of them, the store is restored from a copy of some steps before.
async fn run(fleet: &SimulatedFleet, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut copy = fleet.rows.copy();
    for step in 0..STEPS {
        take_step(fleet, &mut random, step);
        if random.random_bool(0.15) {
            fleet.rows.restore(&copy);
        }
        if random.random_bool(0.2) {
            copy = fleet.rows.copy();
        }
        let pause_ms = random.random_range(0..MAX_STEP_MS);
        sleep(Duration::from_millis(pause_ms)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn all_nodes_agree_after_restorations_beside_pauses_and_refusals() {
    for seed in SEEDS {
        let fleet = SimulatedFleet::start(NODES, FAST_NODES, BOUND_MS).await;
        fleet
            .rows
            .put(StoreTable::Desired, &key("config"), catalog(seed));
        run(&fleet, seed).await;
        fleet.refuse_store(|_| false);
        for number in 0..NODES {
            fleet.set_paused(&node_id(number), false);
        }
        sleep(RECOVERY).await;
        let last = key("last");
        let start = Instant::now();
        let version = fleet
            .rows
            .put(StoreTable::Instances, &last, Some(vec![7; 100]));
        let slowest = fleet
            .slowest_arrival(StoreTable::Instances, &last, version, start)
            .await;
        assert!(slowest < BOUND_MS.duration(), "seed {seed}: {slowest:?}");
        sleep(BOUND_MS.duration()).await;
        fleet.assert_current();
    }
}
