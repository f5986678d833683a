//! A mirror enters the era of a restored store with the whole table.

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::{RelayedTable, RelayedValue};
use cuminlb_replica::TableMirror;
use cuminlb_types::prelude::*;

use crate::simulated_fleet::{at_era, key, node_id};

const TABLE: StoreTable = StoreTable::Desired;

/// Length of a value that is relayed as a list of chunks.
const LARGE_VALUE_BYTES: usize = 60_000;

fn row(name: &str, version: StoreVersion, value: Vec<u8>) -> SharedRow {
    SharedRow {
        key: key(name),
        version,
        value: Some(value),
    }
}

fn large(byte: u8) -> Vec<u8> {
    vec![byte; LARGE_VALUE_BYTES]
}

fn whole(rows: Vec<SharedRow>, version: StoreVersion) -> RowChangeSet {
    RowChangeSet {
        is_whole: true,
        rows,
        version,
    }
}

fn relayed(from: &mut TableMirror, after: StoreVersion) -> RelayedTable {
    let (is_whole, rows) = from.relayed_since(after);
    RelayedTable {
        table: TABLE,
        is_whole,
        rows,
        version: from.complete_version(),
        heard_ms: Millis(0),
    }
}

/// Returns a mirror that has a catalog and a row that was written after the copy.
fn mirror_before() -> TableMirror {
    let mut mirror = TableMirror::default();
    let rows = vec![
        row("config", at_era(0, 5), large(1)),
        row("lost", at_era(0, 9), vec![1]),
    ];
    mirror.apply(whole(rows, at_era(0, 40)));
    mirror
}

/// Returns a mirror of the restored store, with a catalog of some content.
fn mirror_after(content: u8) -> TableMirror {
    let mut mirror = TableMirror::default();
    let rows = vec![
        row("config", at_era(1, 5), large(content)),
        row("new", at_era(1, 8), vec![2]),
    ];
    mirror.apply(whole(rows, at_era(1, 8)));
    mirror
}

#[test]
fn rows_that_the_restored_table_lacks_are_removed_and_the_others_replaced() {
    let mut mirror = mirror_before();
    let rows = vec![row("config", at_era(1, 5), large(1))];
    let new_rows = mirror.apply(whole(rows, at_era(1, 6)));
    let mut changes: Vec<_> = new_rows
        .iter()
        .map(|row| (row.key.as_str(), row.version, row.value.is_some()))
        .collect();
    changes.sort_unstable();
    let expected = [
        ("config", at_era(1, 5), true),
        ("lost", at_era(1, 6), false),
    ];
    assert_eq!(changes, expected);
    assert_eq!(mirror.version(), at_era(1, 6));
    assert!(mirror.row(&key("lost")).is_none());
    // A peer with any cursor of the earlier era, or an earlier one of this era, gets the table.
    for after in [at_era(0, 90), at_era(0, 0), at_era(1, 3)] {
        let (is_whole, rows) = mirror.relayed_since(after);
        assert!(is_whole, "{after}");
        assert_eq!(rows.len(), 1, "{after}");
    }
    assert_eq!(mirror.relayed_since(at_era(1, 6)), (false, vec![]));
}

#[test]
fn changes_of_an_earlier_era_are_ignored() {
    let mut mirror = mirror_after(1);
    let old_row = row("lost", at_era(0, 50), vec![1]);
    let mut changes = whole(vec![old_row.clone()], at_era(0, 60));
    assert_eq!(mirror.apply(changes.clone()), []);
    changes.is_whole = false;
    assert_eq!(mirror.apply(changes), []);
    assert_eq!(mirror.apply_row(old_row), []);
    let mut behind = mirror_before();
    let update = relayed(&mut behind, at_era(0, 0));
    assert_eq!(mirror.apply_relayed(update, &node_id(1)), []);
    assert_eq!(mirror.next_pending(TABLE), None);
    assert_eq!(mirror.version(), at_era(1, 8));
    assert_eq!(mirror.complete_version(), at_era(1, 8));
}

#[test]
fn a_later_era_begins_only_with_the_whole_table() {
    let mut mirror = mirror_before();
    let changes = RowChangeSet {
        is_whole: false,
        ..whole(vec![row("new", at_era(1, 8), vec![2])], at_era(1, 8))
    };
    assert_eq!(mirror.apply(changes), []);
    assert_eq!(mirror.apply_row(row("new", at_era(1, 8), vec![2])), []);
    assert_eq!(mirror.version(), at_era(0, 40));
}

#[test]
fn an_unchanged_large_value_is_taken_from_the_row_of_the_earlier_era() {
    let mut mirror = mirror_before();
    let update = relayed(&mut mirror_after(1), mirror.version());
    let is_chunked = |row: &cuminlb_peer::RelayedRow| matches!(row.value, RelayedValue::Chunked(_));
    assert!(update.rows.iter().any(is_chunked));
    let new_rows = mirror.apply_relayed(update, &node_id(1));
    assert_eq!(new_rows.len(), 3);
    assert_eq!(mirror.next_pending(TABLE), None);
    assert_eq!(mirror.complete_version(), at_era(1, 8));
    let catalog = mirror.row(&key("config")).unwrap();
    assert_eq!(
        (catalog.version, &catalog.value),
        (at_era(1, 5), &Some(large(1)))
    );
}

#[test]
fn a_changed_large_value_keeps_the_row_of_the_earlier_era_until_it_arrives() {
    let mut mirror = mirror_before();
    let update = relayed(&mut mirror_after(2), mirror.version());
    let new_rows = mirror.apply_relayed(update, &node_id(1));
    assert_eq!(new_rows.len(), 2);
    assert_eq!(mirror.version(), at_era(1, 8));
    assert_eq!(mirror.complete_version(), at_era(1, 0));
    let catalog = mirror.row(&key("config")).unwrap();
    assert_eq!(catalog.version, at_era(0, 5));
    // A late update of the earlier era, in which the catalog had been removed, changes nothing.
    assert_eq!(mirror.apply(whole(vec![], at_era(0, 60))), []);
    assert!(mirror.row(&key("config")).is_some());
    // Peers get rows of the later era only.
    let (_, rows) = mirror.relayed_since(at_era(0, 0));
    assert!(rows.iter().all(|row| row.version.era == StoreEra(1)));
    mirror.apply_row(row("config", at_era(1, 5), large(2)));
    assert_eq!(mirror.complete_version(), at_era(1, 8));
}

#[test]
fn a_peer_that_lacks_a_value_of_the_restored_table_removes_nothing() {
    let mut relay = mirror_before();
    relay.apply_relayed(relayed(&mut mirror_after(2), at_era(0, 40)), &node_id(1));
    assert!(relay.next_pending(TABLE).is_some());
    let mut mirror = mirror_before();
    let update = relayed(&mut relay, mirror.version());
    assert_eq!(mirror.apply_relayed(update, &node_id(2)), []);
    assert!(mirror.row(&key("config")).is_some());
    assert_eq!(mirror.version(), at_era(0, 40));
    // A node that has just started takes what the peer has.
    let mut started = TableMirror::default();
    let update = relayed(&mut relay, started.version());
    let new_rows = started.apply_relayed(update, &node_id(2));
    assert_eq!(new_rows.len(), 1);
    assert_eq!(started.version(), at_era(1, 0));
}

#[test]
fn announcements_of_the_earlier_era_are_dropped() {
    let mut mirror = TableMirror::default();
    mirror.apply_relayed(relayed(&mut mirror_before(), at_era(0, 0)), &node_id(1));
    assert!(mirror.next_pending(TABLE).is_some());
    mirror.apply(whole(vec![], at_era(1, 3)));
    assert_eq!(mirror.next_pending(TABLE), None);
    assert_eq!(mirror.complete_version(), at_era(1, 3));
}
