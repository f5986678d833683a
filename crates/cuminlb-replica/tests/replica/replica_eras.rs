//! A replica tells its sink of a restoration, and how recent a table is within its era.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::{
    RelayedRow, RelayedTable, RelayedUpdate, RelayedValue, StoreContact, TableCursors,
};
use cuminlb_replica::Replica;
use cuminlb_types::prelude::*;
use tokio::time::{Instant, advance};

use crate::simulated_fleet::{at_era, key, node_id};
use crate::simulated_sink::SimulatedSink;

const TABLE: StoreTable = StoreTable::Instances;

fn replica() -> (Replica, Arc<SimulatedSink>) {
    let sink = Arc::new(SimulatedSink::default());
    (Replica::new(Arc::clone(&sink) as Arc<_>), sink)
}

/// Returns the whole table, which has one row at version 5.
fn whole(era: u64) -> RowChangeSet {
    RowChangeSet {
        is_whole: true,
        rows: vec![SharedRow {
            key: key("i-1"),
            version: at_era(era, 5),
            value: Some(vec![7]),
        }],
        version: at_era(era, 9),
    }
}

fn update(era: u64, is_whole: bool, heard_ms: Millis) -> RelayedUpdate {
    let row = RelayedRow {
        key: key("i-1"),
        version: at_era(era, 5),
        value: RelayedValue::Whole(vec![7]),
    };
    RelayedUpdate {
        tables: vec![RelayedTable {
            table: TABLE,
            is_whole,
            rows: vec![row],
            version: at_era(era, 9),
            heard_ms,
        }],
        contact: StoreContact::Served,
    }
}

#[tokio::test(start_paused = true)]
async fn only_a_table_that_was_read_before_is_restored() {
    let (replica, sink) = replica();
    let now = Instant::now();
    replica.apply_store_changes(TABLE, whole(3), now);
    assert_eq!(sink.restorations(TABLE), 0);
    replica.apply_store_changes(TABLE, whole(4), now);
    assert_eq!(sink.restorations(TABLE), 1);
    replica.apply_update(update(4, true, Millis(0)), &node_id(1), now);
    replica.apply_update(update(3, true, Millis(0)), &node_id(1), now);
    assert_eq!(sink.restorations(TABLE), 1);
    replica.apply_update(update(5, true, Millis(0)), &node_id(1), now);
    assert_eq!(sink.restorations(TABLE), 2);
    assert_eq!(sink.restorations(StoreTable::Desired), 0);
}

#[tokio::test(start_paused = true)]
async fn how_recent_a_table_is_counts_within_its_era() {
    let (replica, _sink) = replica();
    let age = || replica.heard_age(TABLE, Instant::now()).unwrap();
    advance(Duration::from_secs(60)).await;
    replica.apply_store_changes(TABLE, whole(1), Instant::now());
    advance(Duration::from_secs(1)).await;
    assert_eq!(age(), Millis(1_000));
    // Neither an earlier era nor a later one that is not whole says how recent this one is.
    let now = Instant::now();
    replica.apply_update(update(0, true, Millis(0)), &node_id(1), now);
    replica.apply_update(update(2, false, Millis(0)), &node_id(1), now);
    assert_eq!(age(), Millis(1_000));
    // What was heard of the earlier era does not make the table of the later one more recent.
    replica.apply_update(update(2, true, Millis(5_000)), &node_id(1), now);
    assert_eq!(age(), Millis(5_000));
    replica.apply_store_changes(TABLE, whole(1), now);
    assert_eq!(age(), Millis(5_000));
    replica.apply_update(update(2, false, Millis(400)), &node_id(1), now);
    assert_eq!(age(), Millis(400));
}

#[tokio::test(start_paused = true)]
async fn a_peer_with_a_cursor_of_an_earlier_era_is_woken_and_gets_the_whole_table() {
    let (replica, _sink) = replica();
    let now = Instant::now();
    let mut cursors = TableCursors::default();
    cursors.set(TABLE, at_era(0, 700));
    replica.apply_store_changes(TABLE, whole(1), now);
    assert!(replica.newest().borrow().is_ahead_of(&cursors));
    let update = replica.update_since(cursors, StoreContact::Served, now);
    let mut tables = update.tables.into_iter();
    let table = tables.find(|relayed| relayed.table == TABLE).unwrap();
    assert!(table.is_whole);
    assert_eq!(table.version, at_era(1, 9));
    // A peer that is ahead in era is not, and gets nothing.
    cursors.set(TABLE, at_era(2, 1));
    assert!(!replica.newest().borrow().is_ahead_of(&cursors));
    let update = replica.update_since(cursors, StoreContact::Served, now);
    assert!(update.tables.iter().all(|relayed| relayed.rows.is_empty()));
}

#[tokio::test(start_paused = true)]
async fn an_empty_restored_table_wakes_peers_too() {
    let (replica, sink) = replica();
    let now = Instant::now();
    let empty = |era| RowChangeSet {
        rows: Vec::new(),
        ..whole(era)
    };
    replica.apply_store_changes(TABLE, empty(0), now);
    let cursors = replica.cursors();
    replica.apply_store_changes(TABLE, empty(1), now);
    assert!(replica.newest().borrow().is_ahead_of(&cursors));
    assert_eq!(sink.restorations(TABLE), 1);
}
