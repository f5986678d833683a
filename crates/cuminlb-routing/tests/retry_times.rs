//! Tests of the times for which instances want no requests, and of what requests do meanwhile.
#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use cuminlb_routing::{RetryTimes, Unavailability, WaitDecision};
use cuminlb_types::prelude::*;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const MS: Duration = Duration::from_millis(1);

fn id() -> InstanceId {
    "i-1".parse().unwrap()
}

#[test]
fn an_instance_receives_nothing_before_its_time() {
    let now = Instant::now();
    let times = RetryTimes::default();
    assert_eq!(times.until(&id(), now), None);
    times.record(&id(), Millis(250), now);
    assert_eq!(times.until(&id(), now + MS * 249), Some(now + MS * 250));
    assert_eq!(times.until(&id(), now + MS * 250), None);
    assert_eq!(times.until(&"i-2".parse().unwrap(), now), None);
}

#[test]
fn a_shorter_time_does_not_end_a_longer_one() {
    let now = Instant::now();
    let times = RetryTimes::default();
    times.record(&id(), Millis(2_000), now);
    times.record(&id(), Millis(100), now);
    assert_eq!(times.until(&id(), now + MS * 500), Some(now + MS * 2_000));
    times.remove_expired(now + MS * 1_999);
    assert!(times.until(&id(), now + MS * 500).is_some());
    times.remove_expired(now + MS * 2_000);
    assert_eq!(times.until(&id(), now + MS * 500), None);
}

#[test]
fn an_absurd_time_is_bounded() {
    let now = Instant::now();
    let times = RetryTimes::default();
    times.record(&id(), Millis(u64::MAX), now);
    let until = times.until(&id(), now).unwrap();
    assert_eq!(until - now, Duration::from_secs(300));
}

#[test]
fn a_request_waits_only_while_that_is_useful() {
    let now = Instant::now();
    let wait_until = now + MS * 400;
    let mut unavailability = Unavailability::default();
    assert_eq!(
        unavailability.decide(wait_until),
        WaitDecision::WaitForChange
    );
    unavailability.add_waiting(now + MS * 900, false);
    assert_eq!(unavailability.decide(wait_until), WaitDecision::Refuse);
    unavailability.add_waiting(now + MS * 300, true);
    assert_eq!(unavailability.decide(wait_until), WaitDecision::Refuse);
    unavailability.add_waiting(now + MS * 400, false);
    let until = now + MS * 400;
    assert_eq!(
        unavailability.decide(wait_until),
        WaitDecision::WaitUntil(until)
    );
}

#[test]
fn a_request_is_not_refused_at_once_while_an_instance_may_soon_have_capacity() {
    let now = Instant::now();
    let mut unavailability = Unavailability::default();
    unavailability.add_waiting(now + MS * 900, false);
    unavailability.add_limited();
    assert_eq!(unavailability.decide(now), WaitDecision::WaitForChange);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(0x0503),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn callers_return_after_the_earliest_time_and_not_in_one_second(
        times_ms in prop::collection::vec((0..300_000_u32, any::<bool>()), 1..6),
        seed in any::<u64>(),
    ) {
        let now = Instant::now();
        let mut unavailability = Unavailability::default();
        for (time_ms, is_tried) in &times_ms {
            unavailability.add_waiting(now + MS * *time_ms, *is_tried);
        }
        let earliest_ms = u64::from(times_ms.iter().map(|(time_ms, _)| *time_ms).min().unwrap());
        let mut rng = StdRng::seed_from_u64(seed);
        let delays = (0..200).map(|_| unavailability.retry_after(now, &mut rng).unwrap().get());
        let delays: Vec<u64> = delays.collect();
        let (first, last) = (*delays.iter().min().unwrap(), *delays.iter().max().unwrap());
        prop_assert!(first >= earliest_ms && last <= earliest_ms + 2_000);
        prop_assert!(last - first > 800, "{first} {last}");
    }
}
