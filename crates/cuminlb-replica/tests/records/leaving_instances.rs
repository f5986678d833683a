//! Tests of the statements of instances that they leave.

use std::time::Duration;

use cuminlb_replica::{InstanceRecords, LeavingInstances};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::support::{entry, instance_id, is_used};

fn id() -> InstanceId {
    "i-1".parse().unwrap()
}

#[test]
fn a_statement_holds_for_its_incarnation_only() {
    let now = Instant::now();
    let mut leaving = LeavingInstances::default();
    leaving.record(&id(), Incarnation(5), now);
    assert!(leaving.contains(&id(), Incarnation(5)));
    assert!(!leaving.contains(&id(), Incarnation(6)));
    assert!(!leaving.contains(&"i-2".parse().unwrap(), Incarnation(5)));
}

#[test]
fn a_late_statement_of_an_earlier_incarnation_changes_nothing() {
    let now = Instant::now();
    let mut leaving = LeavingInstances::default();
    leaving.record(&id(), Incarnation(5), now);
    leaving.record(&id(), Incarnation(4), now);
    assert!(leaving.contains(&id(), Incarnation(5)));
    leaving.record(&id(), Incarnation(6), now);
    assert!(leaving.contains(&id(), Incarnation(6)));
}

#[test]
fn a_statement_outlives_its_entry_but_not_forever() {
    let now = Instant::now();
    let mut leaving = LeavingInstances::default();
    leaving.record(&id(), Incarnation(5), now);
    let hour = Duration::from_secs(3_600);
    leaving.remove_expired(|_, incarnation| incarnation == Incarnation(5), now + hour);
    assert!(leaving.contains(&id(), Incarnation(5)));
    leaving.remove_expired(|_, _| false, now + hour + Duration::from_secs(60));
    assert!(leaving.contains(&id(), Incarnation(5)));
    leaving.remove_expired(|_, _| false, now + hour + Duration::from_secs(121));
    assert!(leaving.is_empty());
}

#[test]
fn an_instance_that_states_that_it_leaves_is_not_used_although_its_entry_says_ready() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 1, 1), start);
    assert!(records.record_leaving(&instance_id("a"), Incarnation(1), start));
    assert!(!records.record_leaving(&instance_id("a"), Incarnation(1), start));
    records.put(entry("a", 1, 2), start);
    assert!(!is_used(&records, "a"));
    records.remove(&instance_id("a"), start);
    records.put(entry("a", 1, 3), start);
    assert!(!is_used(&records, "a"));
    records.put(entry("a", 2, 1), start);
    assert!(is_used(&records, "a"));
}

#[test]
fn an_entry_that_arrives_after_the_statement_of_its_instance_is_not_used() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    assert!(!records.record_leaving(&instance_id("a"), Incarnation(2), start));
    records.put(entry("a", 2, 1), start);
    assert!(!is_used(&records, "a"));
}

#[test]
fn a_statement_without_a_start_holds_until_the_entry_vanishes() {
    let start = Instant::now();
    let mut records = InstanceRecords::default();
    records.put(entry("a", 0, 1), start);
    records.record_leaving(&instance_id("a"), Incarnation(0), start);
    records.put(entry("a", 0, 2), start);
    assert!(!is_used(&records, "a"));
    records.remove(&instance_id("a"), start);
    records.put(entry("a", 0, 3), start);
    assert!(is_used(&records, "a"));
}
