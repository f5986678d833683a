//! Tests of which events of several runs a caller receives.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use cuminlb_routing::{EventContent, EventPlace, StreamPosition};
use cuminlb_types::prelude::*;
use proptest::prelude::*;

const FIRST: AttemptNumber = AttemptNumber(0);
const SECOND: AttemptNumber = AttemptNumber(1);

/// Passes the events of a run to a position; returns those for the caller, or `None` if the run does
/// not connect.
fn events_of_run(
    position: &mut StreamPosition,
    run: AttemptNumber,
    ids: impl IntoIterator<Item = u64>,
) -> Option<Vec<u64>> {
    let mut events = Vec::new();
    for id in ids {
        match position.place(run, Some(EventId(id)), EventContent::Piece) {
            EventPlace::Next => events.push(id),
            EventPlace::Repeated => {}
            EventPlace::Unconnected => return None,
        }
    }
    Some(events)
}

fn position_after(ids: impl IntoIterator<Item = u64>) -> StreamPosition {
    let mut position = StreamPosition::new(None);
    events_of_run(&mut position, FIRST, ids).unwrap();
    position
}

#[test]
fn a_gap_before_a_continued_stream_is_noticed() {
    assert_eq!(
        events_of_run(&mut position_after(1..=2), SECOND, 4..=5),
        None
    );
    assert_eq!(
        events_of_run(&mut position_after(1..=2), SECOND, 3..=4),
        Some(vec![3, 4])
    );
}

#[test]
fn ids_that_are_not_consecutive_are_no_gap() {
    let mut position = position_after([5, 10]);
    assert_eq!(
        events_of_run(&mut position, SECOND, [15, 20]),
        Some(vec![15, 20])
    );
}

#[test]
fn a_run_that_ends_before_the_last_event_completes_nothing() {
    let mut position = position_after(1..=3);
    assert!(position.may_end(FIRST));
    assert!(position.may_end(SECOND));
    events_of_run(&mut position, SECOND, 1..=2).unwrap();
    assert!(!position.may_end(SECOND));
    let end = position.place(SECOND, None, EventContent::End);
    assert_eq!(end, EventPlace::Unconnected);
    events_of_run(&mut position, SECOND, [3]).unwrap();
    assert!(position.may_end(SECOND));
    assert_eq!(
        position.place(SECOND, None, EventContent::End),
        EventPlace::Next
    );
}

#[test]
fn a_run_that_ends_before_an_event_that_another_one_began_completes_nothing() {
    let mut position = position_after(1..=2);
    position.record_broken_event(FIRST);
    assert!(!position.may_end(SECOND));
    events_of_run(&mut position, SECOND, 1..=2).unwrap();
    assert!(!position.may_end(SECOND));
    events_of_run(&mut position, SECOND, [3]).unwrap();
    assert!(position.may_end(SECOND));
}

#[test]
fn a_run_that_broke_off_inside_an_event_that_the_caller_has_takes_nothing_away() {
    let mut position = position_after(1..=3);
    events_of_run(&mut position, SECOND, 1..=2).unwrap();
    position.record_broken_event(SECOND);
    assert!(position.may_end(FIRST));
}

#[test]
fn a_run_without_events_does_not_complete_a_stream_that_has_begun() {
    let mut position = StreamPosition::new(None);
    position.record_broken_event(FIRST);
    assert!(!position.may_end(SECOND));
    let mut without_ids = position.clone();
    events_of_run(&mut position, SECOND, [1]).unwrap();
    assert!(position.may_end(SECOND));
    without_ids.place(SECOND, None, EventContent::Piece);
    assert!(without_ids.may_end(SECOND));
}

#[test]
fn a_piece_without_an_id_does_not_continue_a_stream() {
    let mut position = position_after(1..=2);
    let comment = position.place(SECOND, None, EventContent::Nothing);
    assert_eq!(comment, EventPlace::Next);
    let piece = position.place(SECOND, None, EventContent::Piece);
    assert_eq!(piece, EventPlace::Unconnected);
}

#[test]
fn a_stream_whose_pieces_have_no_ids_is_not_continued() {
    let mut position = StreamPosition::new(None);
    let piece = position.place(FIRST, None, EventContent::Piece);
    assert_eq!(piece, EventPlace::Next);
    assert_eq!(events_of_run(&mut position, SECOND, [1]), None);
}

#[test]
fn a_run_that_takes_over_before_any_piece_is_the_first_one() {
    let mut position = StreamPosition::new(Some(EventId(12)));
    let comment = position.place(FIRST, None, EventContent::Nothing);
    assert_eq!(comment, EventPlace::Next);
    assert_eq!(events_of_run(&mut position, SECOND, [15]), Some(vec![15]));
}

#[test]
fn runs_that_are_open_side_by_side_are_told_apart() {
    let mut position = position_after(1..=3);
    assert_eq!(events_of_run(&mut position, SECOND, 1..=2), Some(vec![]));
    assert!(position.is_connected(FIRST) && !position.is_connected(SECOND));
    assert!(position.may_end(FIRST) && !position.may_end(SECOND));
    assert_eq!(events_of_run(&mut position, FIRST, 4..=4), Some(vec![4]));
    assert_eq!(events_of_run(&mut position, SECOND, 3..=5), Some(vec![5]));
    assert!(position.is_connected(SECOND) && !position.is_connected(FIRST));
    assert_eq!(events_of_run(&mut position, FIRST, 7..=7), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x57e0),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_caller_gets_consecutive_events_once_and_in_order(
        first in 1..20_u64,
        runs in prop::collection::vec((1..30_u64, 0..30_u64), 0..5),
    ) {
        let mut position = StreamPosition::new(None);
        let mut received = events_of_run(&mut position, FIRST, 1..=first).unwrap();
        for (number, (start, len)) in (1..).zip(runs) {
            let run = AttemptNumber(number);
            let last = *received.last().unwrap();
            let connects = start <= last + 1 || len == 0;
            match events_of_run(&mut position, run, start..start + len) {
                Some(events) => received.extend(events),
                None => {
                    prop_assert!(!connects);
                    break;
                }
            }
            prop_assert!(connects);
            let reaches_last = len == 0 || start + len > last;
            prop_assert_eq!(position.may_end(run), reaches_last);
        }
        let expected: Vec<u64> = (1..=received.len() as u64).collect();
        prop_assert_eq!(received, expected);
    }
}
