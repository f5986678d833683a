//! The attribution of crashes to causes.

use std::time::Duration;

use cuminlb_routing::{CrashCause, CrashRecord, attribute_crashes};
use tokio::time::Instant;

use crate::support::{begun, crash, part, request, waiting};

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

/// Returns crashes, one a second, of requests that had begun and all have the same causes.
fn crashes_each_second(start: Instant, count: u64, causes: &[CrashCause]) -> Vec<CrashRecord> {
    let crashes = (0..count).map(|number| {
        let at = start + seconds(number);
        crash(&format!("i{number}"), at, begun(causes))
    });
    crashes.collect()
}

/// Returns the causes that are held responsible when nothing has run successfully.
fn responsible(records: &[CrashRecord]) -> Vec<CrashCause> {
    let quarantined = attribute_crashes(records, |_| None);
    quarantined.into_iter().map(|it| it.cause).collect()
}

#[test]
fn the_part_that_all_crashes_have_in_common_is_responsible_and_not_what_came_with_it() {
    let start = Instant::now();
    let mut records = Vec::new();
    for number in 0..4 {
        let causes = [
            part("deadly"),
            request(&format!("r{number}")),
            part("first"),
        ];
        let at = start + seconds(number);
        records.push(crash(&format!("i{number}"), at, begun(&causes)));
    }
    let has_run = start + seconds(10);
    let success = |cause: &CrashCause| (*cause == part("first")).then_some(has_run);
    let quarantined = attribute_crashes(&records, success);
    assert_eq!(quarantined.len(), 1);
    assert_eq!(quarantined[0].cause, part("deadly"));
    assert_eq!(quarantined[0].since, start + seconds(2));
    assert_eq!(quarantined[0].last_crash_at, start + seconds(3));
}

#[test]
fn a_part_that_ran_before_the_crashes_only_is_less_suspect_than_one_that_never_ran() {
    let start = Instant::now() + seconds(100);
    let causes = [part("deadly"), part("first")];
    let records = crashes_each_second(start, 3, &causes);
    let has_run = start - seconds(1);
    let success = |cause: &CrashCause| (*cause == part("first")).then_some(has_run);
    let quarantined = attribute_crashes(&records, success);
    assert_eq!(quarantined.len(), 1);
    assert_eq!(quarantined[0].cause, part("deadly"));
}

#[test]
fn a_part_goes_before_the_only_request_that_had_it() {
    let start = Instant::now();
    let causes = [part("deadly"), request("r1")];
    let records = crashes_each_second(start, 3, &causes);
    assert_eq!(responsible(&records), [part("deadly")]);
}

#[test]
fn two_crashes_are_no_proof() {
    let start = Instant::now();
    let causes = [part("deadly")];
    let records = crashes_each_second(start, 2, &causes);
    assert_eq!(responsible(&records), []);
}

#[test]
fn instances_that_end_at_the_same_moment_count_once() {
    let start = Instant::now();
    let causes = [part("shared")];
    let mut records = Vec::new();
    for number in 0..12 {
        let at = start + Duration::from_millis(number * 5);
        records.push(crash(&format!("i{number}"), at, begun(&causes)));
    }
    assert_eq!(responsible(&records), []);
}

#[test]
fn requests_that_waited_are_innocent_where_another_one_had_begun() {
    let start = Instant::now();
    let records: Vec<_> = (0..5)
        .map(|number| {
            let mut candidates = begun(&[part("deadly")]);
            candidates.merge(&waiting(&[part("waiting")]));
            crash(&format!("i{number}"), start + seconds(number), candidates)
        })
        .collect();
    assert_eq!(responsible(&records), [part("deadly")]);
}

#[test]
fn a_crash_before_the_response_begins_is_attributed_too() {
    let start = Instant::now();
    let records: Vec<_> = (0..3)
        .map(|number| {
            let at = start + seconds(number);
            crash(&format!("i{number}"), at, waiting(&[part("deadly")]))
        })
        .collect();
    assert_eq!(responsible(&records), [part("deadly")]);
}

#[test]
fn two_parts_that_crash_instances_independently_are_both_found() {
    let start = Instant::now();
    let mut records = Vec::new();
    for number in 0..8 {
        let name = if number % 2 == 0 { "one" } else { "other" };
        let at = start + seconds(number);
        records.push(crash(&format!("i{number}"), at, begun(&[part(name)])));
    }
    let mut found = responsible(&records);
    found.sort();
    assert_eq!(found, [part("one"), part("other")]);
}
