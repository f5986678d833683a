//! Entries of instances when the store is restored from a copy.

use std::time::Duration;

use cuminlb_catalog::InstanceEntry;
use cuminlb_replica::InstanceRecords;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::support::{draining, entry, instance_id, is_used};

const STEP: Duration = Duration::from_millis(100);

/// The time after which an instance that is missing in the store counts as gone.
const LAPSE: Duration = Duration::from_millis(2_000);

/// The time after which an instance that the store goes on listing is used in any case.
const MAX_HELD_BACK: Duration = Duration::from_secs(61);

fn slots(records: &InstanceRecords, name: &str) -> Option<SlotCount> {
    let id = instance_id(name);
    let mut entries = records.entries();
    entries
        .find(|entry| entry.id == id)
        .map(|entry| entry.slots)
}

#[test]
fn an_entry_is_kept_against_the_older_one_of_the_copy() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    let newer = InstanceEntry {
        slots: SlotCount(9),
        ..entry("a", 2, 5)
    };
    records.put(newer, start);
    records.restore(entry("a", 2, 4), start + STEP);
    assert_eq!(slots(&records, "a"), Some(SlotCount(9)));
    records.restore(entry("a", 1, 40), start + STEP);
    assert_eq!(slots(&records, "a"), Some(SlotCount(9)));
    assert!(is_used(&records, "a"));
    records.put(entry("a", 2, 6), start + STEP * 2);
    assert_eq!(slots(&records, "a"), Some(SlotCount(1)));
}

#[test]
fn an_entry_of_the_copy_that_is_newer_replaces_the_one_of_a_node_that_was_cut_off() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 5), start);
    records.restore(draining("a", 1, 6), start + STEP);
    assert!(!is_used(&records, "a"));
    records.restore(entry("a", 2, 1), start + STEP);
    assert!(is_used(&records, "a"));
}

#[test]
fn an_instance_that_the_copy_lacks_is_used_until_it_would_have_written_again() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 1), start);
    records.put(entry("b", 1, 1), start);
    records.restore_absence(&instance_id("a"), start + STEP);
    records.restore_absence(&instance_id("b"), start + STEP);
    records.remove_expired(start + STEP * 2);
    assert!(is_used(&records, "a") && is_used(&records, "b"));
    records.put(entry("b", 1, 2), start + STEP * 3);
    records.remove_expired(start + STEP + LAPSE);
    assert!(!is_used(&records, "a"));
    assert!(is_used(&records, "b"));
    assert_eq!(records.entries().count(), 2);
}

#[test]
fn a_draining_instance_that_the_copy_lacks_counts_as_drained() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(draining("a", 1, 2), start);
    records.restore_absence(&instance_id("a"), start);
    records.remove_expired(start + LAPSE);
    assert_eq!(records.entries().count(), 0);
    records.restore(entry("a", 1, 1), start + LAPSE);
    assert!(!is_used(&records, "a"));
}

#[test]
fn an_instance_that_drains_gets_nothing_although_the_copy_says_that_it_is_ready() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(draining("a", 1, 2), start);
    records.restore(entry("a", 1, 1), start + STEP);
    assert!(!is_used(&records, "a"));
    records.remove(&instance_id("a"), start + STEP * 2);
    records.restore(entry("a", 1, 1), start + STEP * 3);
    assert!(!is_used(&records, "a"));
}

#[test]
fn an_instance_that_has_vanished_gets_nothing_although_the_copy_lists_it() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 1), start);
    records.remove(&instance_id("a"), start);
    records.restore(entry("a", 1, 9), start + STEP);
    records.remove_expired(start + STEP * 2);
    assert!(!is_used(&records, "a"));
    records.remove(&instance_id("a"), start + STEP * 3);
    records.remove_expired(start + MAX_HELD_BACK);
    assert_eq!(records.entries().count(), 0);
}

#[test]
fn an_instance_that_had_vanished_is_used_again_once_it_writes() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 1), start);
    records.remove(&instance_id("a"), start);
    records.restore(entry("a", 1, 1), start + STEP);
    records.put(entry("a", 1, 2), start + STEP * 2);
    assert!(is_used(&records, "a"));
    records.remove_expired(start + MAX_HELD_BACK);
    assert!(is_used(&records, "a"));
}

#[test]
fn an_instance_that_the_store_goes_on_listing_is_not_held_back_for_long() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 1), start);
    records.remove(&instance_id("a"), start);
    records.restore(entry("a", 1, 1), start + STEP);
    records.put(draining("b", 1, 1), start);
    records.remove(&instance_id("b"), start);
    records.restore(entry("b", 1, 1), start + STEP);
    records.remove_expired(start + MAX_HELD_BACK);
    assert!(is_used(&records, "a"));
    assert!(is_used(&records, "b"));
}

#[test]
fn an_unknown_instance_that_the_copy_lists_is_used_at_once() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.restore(entry("a", 1, 1), start);
    assert!(is_used(&records, "a"));
}

#[test]
fn an_instance_that_started_again_is_used_although_its_last_start_has_drained() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(draining("a", 1, 2), start);
    records.remove(&instance_id("a"), start);
    records.restore(entry("a", 2, 1), start + STEP);
    assert!(is_used(&records, "a"));
}
