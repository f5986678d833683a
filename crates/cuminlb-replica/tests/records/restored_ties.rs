//! Entries of a restored table that are as old as the known ones by their start and orders, and yet
//! say something else. An instance that drains or is cold has begun no order for it.

use std::time::Duration;

use cuminlb_catalog::{InstanceEntry, Seat, SeatState};
use cuminlb_replica::InstanceRecords;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::support::{draining, entry, instance_id, is_used};

const STEP: Duration = Duration::from_millis(100);

/// How long an instance that had vanished is held back, as docs/PLATFORM.md states it.
const HELD_BACK: Duration = Duration::from_secs(15);

/// What the records may take longer.
const MARGIN: Duration = Duration::from_secs(1);

/// The node has missed the entry with which the instance began to drain: the store was restored
/// meanwhile, from a copy that has it or before it was written, so that it comes with the whole table.
#[test]
fn an_instance_that_began_to_drain_without_an_order_gets_nothing() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 5), start);
    records.record_restoration(start + STEP);
    records.restore(draining("a", 1, 5), start + STEP);
    assert!(!is_used(&records, "a"));
}

#[test]
fn an_instance_that_became_cold_without_an_order_counts_as_cold() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 5), start);
    let cold = InstanceEntry {
        cold_remaining_ms: Millis(5_000),
        ..entry("a", 1, 5)
    };
    records.record_restoration(start + STEP);
    records.restore(cold, start + STEP);
    let cold_until = records.cold_until(start + STEP);
    assert!(cold_until.contains_key(&instance_id("a")));
}

#[test]
fn an_instance_that_goes_on_being_listed_is_not_held_back_for_longer_by_a_second_restoration() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 5), start);
    records.remove(&instance_id("a"), start);
    records.restore(entry("a", 1, 5), start + STEP);
    let second = start + HELD_BACK;
    records.remove_expired(second);
    records.restore(entry("a", 1, 5), second);
    records.remove_expired(second + HELD_BACK + MARGIN);
    assert!(is_used(&records, "a"));
}

/// The store removes entries whose heartbeats it can't receive, and may list them again from its copy.
/// The instance then finds its entry as it wrote it, and has nothing to write.
#[test]
fn an_instance_whose_entry_lapsed_in_an_outage_is_used_once_the_copy_lists_it() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 5), start);
    records.record_store_failure(start);
    records.remove(&instance_id("a"), start + STEP);
    records.record_restoration(start + STEP * 5);
    records.restore(entry("a", 1, 5), start + STEP * 5);
    records.remove_expired(start + STEP * 40);
    assert!(is_used(&records, "a"));
}

/// A join ends after the order, and the entry counts no further one. The node has missed its end.
#[test]
fn an_instance_whose_join_has_ended_counts_as_joined() {
    let start = Instant::now();
    let in_state = |state| InstanceEntry {
        seat: Some(Seat {
            group: "g".parse().unwrap(),
            epoch: Epoch(7),
            rank: 1,
            state,
        }),
        ..entry("a", 1, 5)
    };
    let mut records = InstanceRecords::default();
    records.put(in_state(SeatState::Joining), start);
    records.record_restoration(start + STEP);
    records.restore(in_state(SeatState::Ready), start + STEP);
    let mut entries = records.entries();
    let state = entries.find_map(|entry| Some(entry.seat.as_ref()?.state));
    assert_eq!(state, Some(SeatState::Ready));
}
