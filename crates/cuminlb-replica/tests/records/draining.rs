//! An instance that drains gets nothing until it has started again.

use std::time::Duration;

use cuminlb_replica::InstanceRecords;
use tokio::time::Instant;

use crate::support::{draining, entry, instance_id, is_used};

const STEP: Duration = Duration::from_millis(100);

/// The number of instances that are known to have left at most.
const MAX_DEPARTED: usize = 4_096;

#[test]
fn a_draining_instance_is_not_used_again_in_the_same_incarnation() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 1), start);
    records.put(draining("a", 1, 2), start + STEP);
    records.put(entry("a", 1, 3), start + STEP * 2);
    assert!(!is_used(&records, "a"));
}

#[test]
fn a_drained_instance_is_not_used_again_in_the_same_incarnation() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(draining("a", 1, 2), start);
    records.remove(&instance_id("a"), start + STEP);
    records.put(entry("a", 1, 3), start + STEP * 2);
    assert!(!is_used(&records, "a"));
}

#[test]
fn an_instance_that_has_started_again_is_used() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(draining("a", 1, 2), start);
    records.put(entry("a", 2, 1), start + STEP);
    assert!(is_used(&records, "a"));
    records.put(draining("a", 2, 2), start + STEP * 2);
    records.remove(&instance_id("a"), start + STEP * 3);
    records.put(entry("a", 3, 1), start + STEP * 4);
    assert!(is_used(&records, "a"));
}

#[test]
fn an_instance_that_states_no_start_is_used_when_it_says_that_it_is_ready() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(draining("a", 0, 2), start);
    records.put(entry("a", 0, 1), start + STEP);
    assert!(is_used(&records, "a"));
}

#[test]
fn the_memory_of_drained_instances_does_not_grow_without_bound() {
    let mut now = Instant::now();
    let mut records = InstanceRecords::default();
    for number in 0..=MAX_DEPARTED {
        let name = format!("i{number}");
        records.put(draining(&name, 1, 1), now);
        now += Duration::from_millis(1);
        records.remove(&instance_id(&name), now);
    }
    records.put(entry("i0", 1, 2), now);
    records.put(entry("i1", 1, 2), now);
    assert!(is_used(&records, "i0"));
    assert!(!is_used(&records, "i1"));
}
