//! The times of a planned stop are in order, whatever the grace, and leave room for the answers.

use std::time::Duration;

use cuminlb_routing::DrainSchedule;
use proptest::prelude::*;
use tokio::time::Instant;

/// The part of the grace in whose rest the longest requests may still be at work when they are cut.
const LAST_SIXTH_FRACTION: f64 = 5.0 / 6.0;

fn millis(duration_ms: u64) -> Duration {
    Duration::from_millis(duration_ms)
}

#[test]
fn the_usual_grace_leaves_time_for_requests_and_answers() {
    let signaled_at = Instant::now();
    let schedule = DrainSchedule::new(signaled_at, millis(10_000));
    let after = |at: Instant| at.duration_since(signaled_at);
    assert_eq!(after(schedule.closes_at()), millis(3_000));
    assert_eq!(after(schedule.stream_starts_by()), millis(2_900));
    assert_eq!(after(schedule.plain_starts_by(millis(500))), millis(7_900));
    assert_eq!(after(schedule.answers_by()), millis(8_900));
    assert_eq!(after(schedule.aborts_at()), millis(9_200));
}

#[test]
fn a_request_that_takes_longer_than_the_drain_begins_only_while_the_listener_is_open() {
    let schedule = DrainSchedule::new(Instant::now(), millis(6_000));
    assert_eq!(
        schedule.plain_starts_by(millis(30_000)),
        schedule.closes_at()
    );
    assert_eq!(
        schedule.plain_starts_by(Duration::MAX),
        schedule.closes_at()
    );
}

proptest! {
    #[test]
    fn the_times_are_in_order(grace_ms in 100_u64..120_000, target_ms in 0_u64..60_000) {
        let signaled_at = Instant::now();
        let grace = millis(grace_ms);
        let schedule = DrainSchedule::new(signaled_at, grace);
        let plain_starts_by = schedule.plain_starts_by(millis(target_ms));
        prop_assert!(signaled_at <= schedule.stream_starts_by());
        prop_assert!(schedule.stream_starts_by() <= schedule.closes_at());
        prop_assert!(schedule.closes_at() <= plain_starts_by);
        prop_assert!(plain_starts_by <= schedule.answers_by());
        prop_assert!(schedule.answers_by() < schedule.aborts_at());
        prop_assert!(schedule.aborts_at() < signaled_at + grace);
    }

    #[test]
    fn a_plain_request_begins_after_the_listener_has_closed_only_if_it_can_end(
        grace_ms in 100_u64..120_000, target_ms in 0_u64..60_000,
    ) {
        let schedule = DrainSchedule::new(Instant::now(), millis(grace_ms));
        let starts_by = schedule.plain_starts_by(millis(target_ms));
        let expected_end = starts_by + 2 * millis(target_ms);
        prop_assert!(starts_by == schedule.closes_at() || expected_end <= schedule.answers_by());
    }

    #[test]
    fn nothing_is_cut_before_the_last_sixth_of_the_grace(grace_ms in 100_u64..120_000) {
        let signaled_at = Instant::now();
        let grace = millis(grace_ms);
        let schedule = DrainSchedule::new(signaled_at, grace);
        prop_assert!(schedule.answers_by() >= signaled_at + grace.mul_f64(LAST_SIXTH_FRACTION));
    }
}
