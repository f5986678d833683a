//! A mirror announces, completes and removes rows without going back.

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::{RelayedTable, RelayedValue};
use cuminlb_replica::TableMirror;
use cuminlb_types::prelude::*;

use crate::simulated_fleet::{at, key, node_id};

fn row(name: &str, version: u64, length: Option<usize>) -> SharedRow {
    SharedRow {
        key: key(name),
        version: at(version),
        value: length.map(|length| vec![b'x'; length]),
    }
}

fn changes(rows: Vec<SharedRow>, version: u64, is_whole: bool) -> RowChangeSet {
    RowChangeSet {
        is_whole,
        rows,
        version: at(version),
    }
}

fn relayed(from: &mut TableMirror, after: u64) -> RelayedTable {
    let (is_whole, rows) = from.relayed_since(at(after));
    RelayedTable {
        table: StoreTable::Desired,
        is_whole,
        rows,
        version: from.complete_version(),
        heard_ms: Millis(0),
    }
}

#[test]
fn a_large_value_is_announced_and_completes_the_table_when_it_arrives() {
    let mut relay = TableMirror::default();
    relay.apply(changes(
        vec![row("config", 5, Some(100_000)), row("zone", 7, Some(10))],
        9,
        true,
    ));
    let mut node = TableMirror::default();
    let new_rows = node.apply_relayed(relayed(&mut relay, 0), &node_id(1));
    let keys: Vec<&str> = new_rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["zone"], "small rows are not delayed");
    assert_eq!(node.version(), at(9));
    assert_eq!(node.complete_version(), at(0));
    assert!(node.next_pending(StoreTable::Desired).is_some());
    let new_rows = node.apply_row(row("config", 5, Some(100_000)));
    assert_eq!(new_rows.len(), 1);
    assert_eq!(node.complete_version(), at(9));
    assert!(node.next_pending(StoreTable::Desired).is_none());
}

#[test]
fn a_table_is_complete_up_to_an_announced_value_whose_earlier_version_is_known() {
    let mut relay = TableMirror::default();
    relay.apply(changes(vec![row("config", 5, Some(100_000))], 9, true));
    let mut node = TableMirror::default();
    node.apply(changes(vec![row("config", 2, Some(100_000))], 3, true));
    node.apply_relayed(relayed(&mut relay, 3), &node_id(1));
    assert_eq!(node.version(), at(9));
    assert_eq!(node.complete_version(), at(4));
}

#[test]
fn a_newer_row_replaces_an_announced_value() {
    let mut relay = TableMirror::default();
    relay.apply(changes(vec![row("config", 5, Some(100_000))], 5, true));
    let mut node = TableMirror::default();
    node.apply_relayed(relayed(&mut relay, 0), &node_id(1));
    relay.apply(changes(vec![row("config", 8, None)], 8, false));
    node.apply_relayed(relayed(&mut relay, 5), &node_id(1));
    assert!(node.next_pending(StoreTable::Desired).is_none());
    assert_eq!(node.complete_version(), at(8));
    // The value that was under way arrives late and changes nothing.
    assert!(node.apply_row(row("config", 5, Some(100_000))).is_empty());
    assert!(node.row(&key("config")).is_none());
}

#[test]
fn a_complete_table_removes_what_it_does_not_list_but_not_what_it_announces() {
    let mut node = TableMirror::default();
    node.apply(changes(
        vec![row("config", 2, Some(50_000)), row("gone", 3, Some(5))],
        3,
        true,
    ));
    let mut relay = TableMirror::default();
    relay.apply(changes(vec![row("config", 6, Some(60_000))], 9, true));
    let new_rows = node.apply_relayed(relayed(&mut relay, 0), &node_id(1));
    assert_eq!(new_rows.len(), 1);
    assert_eq!(new_rows[0].key, key("gone"));
    assert!(node.row(&key("config")).is_some());
}

#[test]
fn a_value_that_a_node_has_is_not_announced_again() {
    let mut relay = TableMirror::default();
    relay.apply(changes(vec![row("config", 5, Some(100_000))], 5, true));
    let mut node = TableMirror::default();
    node.apply(changes(vec![row("config", 5, Some(100_000))], 5, true));
    let table = relayed(&mut relay, 0);
    assert!(matches!(table.rows[0].value, RelayedValue::Chunked(_)));
    node.apply_relayed(table, &node_id(1));
    assert!(node.next_pending(StoreTable::Desired).is_none());
}

#[test]
fn a_relay_that_started_while_a_value_was_announced_removes_no_known_value() {
    let mut source = TableMirror::default();
    source.apply(changes(vec![row("config", 6, Some(60_000))], 9, true));
    // The relay has just started and knows the value only by its announcement.
    let mut relay = TableMirror::default();
    relay.apply_relayed(relayed(&mut source, 0), &node_id(1));
    assert!(relay.next_pending(StoreTable::Desired).is_some());
    let mut node = TableMirror::default();
    node.apply(changes(vec![row("config", 2, Some(50_000))], 3, true));
    let new_rows = node.apply_relayed(relayed(&mut relay, 0), &node_id(2));
    assert_eq!(new_rows, []);
    assert!(node.row(&key("config")).is_some());
}

#[test]
fn an_announced_value_that_the_store_no_longer_lists_is_not_awaited() {
    let mut relay = TableMirror::default();
    relay.apply(changes(vec![row("config", 5, Some(100_000))], 5, true));
    let mut node = TableMirror::default();
    node.apply_relayed(relayed(&mut relay, 0), &node_id(1));
    node.apply(changes(vec![], 9, true));
    assert!(node.next_pending(StoreTable::Desired).is_none());
    assert_eq!(node.complete_version(), at(9));
}

#[test]
fn a_late_update_does_not_bring_back_a_removed_row() {
    let mut node = TableMirror::default();
    node.apply(changes(vec![], 9, true));
    let late = changes(vec![row("gone", 4, Some(1))], 6, true);
    assert_eq!(node.apply(late), []);
    assert!(node.row(&key("gone")).is_none());
}

#[test]
fn a_peer_gets_the_whole_table_from_a_node_that_has_not_seen_all_removals_since() {
    let mut relay = TableMirror::default();
    relay.apply(changes(vec![], 1, true));
    let mut node = TableMirror::default();
    node.apply(changes(vec![row("gone", 2, Some(1))], 2, true));
    // The row is removed at version 3, and the history is gone when the relay reads the table.
    relay.apply(changes(vec![], 3, true));
    let new_rows = node.apply_relayed(relayed(&mut relay, 2), &node_id(1));
    assert_eq!(new_rows.len(), 1);
    assert!(node.row(&key("gone")).is_none());
}
