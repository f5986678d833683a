//! The operators' orders and the nodes when the store is restored from a copy.

use std::net::SocketAddr;
use std::time::Duration;

use cuminlb_replica::{CatalogOrigin, NodeCapacity, NodeRecords, NodeRow, ZoneRecords};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

const STEP: Duration = Duration::from_millis(100);

/// The time within which operators and nodes write again what the store has lost.
const WRITTEN_AGAIN: Duration = Duration::from_secs(14);

/// The time after which what they have not written again counts as taken back.
const TAKEN_BACK: Duration = Duration::from_secs(16);

fn zone(name: &str) -> ZoneId {
    name.parse().unwrap()
}

fn node(name: &str) -> NodeId {
    name.parse().unwrap()
}

fn node_row(port: u16) -> NodeRow {
    NodeRow {
        peer: SocketAddr::from(([127, 0, 0, 1], port)),
        zone: zone("za"),
        forwarding: None,
        capacity: NodeCapacity::default(),
    }
}

fn origin(catalog: u64, era: u64, row: u64) -> CatalogOrigin {
    CatalogOrigin {
        catalog: ConfigVersion(catalog),
        row: StoreVersion::new(StoreEra(era), RowVersion(row)),
    }
}

#[test]
fn a_zone_out_that_the_copy_lacks_stays_out_until_the_operators_had_time_to_write_it_again() {
    let start = Instant::now();
    let mut zones = ZoneRecords::default();
    zones.put(zone("za"));
    zones.put(zone("zb"));
    zones.restore_absence(&zone("za"), start);
    zones.restore_absence(&zone("zb"), start);
    assert!(zones.remove_expired(start + WRITTEN_AGAIN).is_empty());
    assert!(!zones.put(zone("zb")));
    assert_eq!(zones.remove_expired(start + TAKEN_BACK), [zone("za")]);
    assert_eq!(zones.zones(), [zone("zb")].into());
}

#[test]
fn a_zone_that_the_operators_take_back_after_a_restoration_is_used_at_once() {
    let start = Instant::now();
    let mut zones = ZoneRecords::default();
    zones.put(zone("za"));
    zones.restore_absence(&zone("za"), start);
    assert!(zones.remove(&zone("za")));
    assert!(zones.zones().is_empty());
}

#[test]
fn a_second_restoration_does_not_keep_a_zone_out_for_longer() {
    let start = Instant::now();
    let mut zones = ZoneRecords::default();
    zones.put(zone("za"));
    zones.restore_absence(&zone("za"), start);
    zones.restore_absence(&zone("za"), start + WRITTEN_AGAIN);
    assert_eq!(zones.remove_expired(start + TAKEN_BACK), [zone("za")]);
}

#[test]
fn an_older_catalog_of_the_copy_does_not_replace_the_one_in_force() {
    assert!(!origin(6, 1, 4).replaces(&origin(7, 0, 9)));
    assert!(origin(8, 1, 4).replaces(&origin(7, 0, 9)));
    assert!(!origin(7, 0, 12).replaces(&origin(7, 0, 9)));
}

#[test]
fn a_catalog_that_is_written_anew_under_a_lost_version_comes_into_force() {
    assert!(origin(7, 1, 5).replaces(&origin(7, 0, 9)));
}

#[test]
fn a_node_that_the_copy_lacks_counts_until_it_had_time_to_write_its_row_again() {
    let start = Instant::now();
    let mut nodes = NodeRecords::default();
    nodes.put(node("n1"), node_row(1));
    nodes.put(node("n2"), node_row(2));
    nodes.restore_absence(&node("n1"), start);
    nodes.restore_absence(&node("n2"), start);
    assert!(!nodes.remove_expired(start + STEP));
    assert_eq!(nodes.nodes().len(), 2);
    assert!(!nodes.put(node("n2"), node_row(2)));
    assert!(nodes.remove_expired(start + TAKEN_BACK));
    assert_eq!(nodes.nodes().keys().collect::<Vec<_>>(), [&node("n2")]);
}

#[test]
fn a_node_whose_row_is_removed_after_a_restoration_no_longer_counts() {
    let start = Instant::now();
    let mut nodes = NodeRecords::default();
    nodes.put(node("n1"), node_row(1));
    nodes.restore_absence(&node("n1"), start);
    assert!(nodes.remove(&node("n1")));
    assert!(nodes.nodes().is_empty());
}
