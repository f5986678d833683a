//! A caller's connection is closed only when it is idle for the newest limit, or its head is late.

use std::time::Duration;

use cuminlb_routing::{ConnectionActivity, ConnectionLimits};
use proptest::prelude::*;
use tokio::time::{Instant, advance};

const fn limits(idle_ms: u64, head_ms: u64) -> ConnectionLimits {
    ConnectionLimits {
        idle_timeout: Duration::from_millis(idle_ms),
        head_timeout: Duration::from_millis(head_ms),
        send_timeout: SEND_TIMEOUT,
    }
}

const SEND_TIMEOUT: Duration = Duration::from_secs(20);

const LIMITS: ConnectionLimits = limits(15_000, 3_000);

async fn wait_ms(duration_ms: u64) {
    advance(Duration::from_millis(duration_ms)).await;
}

/// Returns how long from now a connection stays open.
fn remaining_ms(activity: &ConnectionActivity, limits: ConnectionLimits) -> Option<u128> {
    let expires_at = activity.expires_at(limits)?;
    let remaining = expires_at.saturating_duration_since(Instant::now());
    Some(remaining.as_millis())
}

#[tokio::test(start_paused = true)]
async fn an_idle_connection_follows_the_newest_limit() {
    let mut activity = ConnectionActivity::new(Instant::now());
    activity.record_received(Instant::now());
    activity.start_request();
    wait_ms(40_000).await;
    activity.end_request(Instant::now());
    wait_ms(1_400).await;
    assert_eq!(remaining_ms(&activity, limits(1_500, 100)), Some(100));
    assert_eq!(remaining_ms(&activity, limits(9_000, 100)), Some(7_600));
    assert_eq!(remaining_ms(&activity, limits(1_000, 100)), Some(0));
}

#[tokio::test(start_paused = true)]
async fn a_connection_on_which_a_request_has_begun_is_not_idle() {
    let mut activity = ConnectionActivity::new(Instant::now());
    wait_ms(14_999).await;
    activity.record_received(Instant::now());
    assert_eq!(remaining_ms(&activity, LIMITS), Some(3_000));
    wait_ms(2_000).await;
    activity.record_received(Instant::now());
    assert_eq!(remaining_ms(&activity, LIMITS), Some(1_000));
    activity.start_request();
    wait_ms(100_000).await;
    assert_eq!(remaining_ms(&activity, LIMITS), None);
}

#[tokio::test(start_paused = true)]
async fn the_body_of_a_request_is_no_head() {
    let mut activity = ConnectionActivity::new(Instant::now());
    activity.record_received(Instant::now());
    activity.start_request();
    activity.record_received(Instant::now());
    assert_eq!(remaining_ms(&activity, LIMITS), None);
}

#[tokio::test(start_paused = true)]
async fn a_response_that_the_caller_reads_slowly_keeps_its_connection() {
    let mut activity = ConnectionActivity::new(Instant::now());
    activity.record_received(Instant::now());
    activity.start_request();
    activity.record_sending(Instant::now());
    activity.end_request(Instant::now());
    for _ in 0..4 {
        wait_ms(19_999).await;
        assert_eq!(remaining_ms(&activity, LIMITS), Some(1));
        activity.record_progress(Instant::now());
        assert_eq!(remaining_ms(&activity, LIMITS), Some(20_000));
    }
    activity.record_sent(Instant::now());
    assert_eq!(remaining_ms(&activity, LIMITS), Some(15_000));
    wait_ms(5_000).await;
    activity.record_sent(Instant::now());
    assert_eq!(remaining_ms(&activity, LIMITS), Some(10_000));
}

#[tokio::test(start_paused = true)]
async fn a_response_without_progress_closes_its_connection_after_its_deadline() {
    for is_complete in [false, true] {
        let mut activity = ConnectionActivity::new(Instant::now());
        activity.record_received(Instant::now());
        activity.start_request();
        activity.record_deadline(Instant::now() + Duration::from_secs(60));
        assert_eq!(remaining_ms(&activity, LIMITS), None);
        activity.record_progress(Instant::now());
        if is_complete {
            activity.end_request(Instant::now());
        }
        wait_ms(50_000).await;
        activity.record_sending(Instant::now());
        assert_eq!(remaining_ms(&activity, LIMITS), Some(30_000));
        wait_ms(25_000).await;
        assert_eq!(remaining_ms(&activity, LIMITS), Some(5_000));
        activity.record_progress(Instant::now());
        assert_eq!(remaining_ms(&activity, LIMITS), Some(20_000));
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_does_not_keep_the_deadline_of_the_one_before() {
    let mut activity = ConnectionActivity::new(Instant::now());
    activity.start_request();
    activity.record_deadline(Instant::now() + Duration::from_secs(60));
    activity.end_request(Instant::now());
    activity.start_request();
    activity.record_sending(Instant::now());
    wait_ms(1_000).await;
    activity.record_sending(Instant::now());
    assert_eq!(remaining_ms(&activity, LIMITS), Some(19_000));
}

proptest! {
    #[test]
    fn a_longer_limit_never_closes_earlier(
        idle_ms in 0_u64..60_000, head_ms in 0_u64..60_000, more_ms in 0_u64..60_000,
        has_begun in any::<bool>(),
    ) {
        let now = Instant::now();
        let mut activity = ConnectionActivity::new(now);
        if has_begun {
            activity.record_received(now);
        }
        let before = activity.expires_at(limits(idle_ms, head_ms));
        let after = activity.expires_at(limits(idle_ms + more_ms, head_ms + more_ms));
        prop_assert!(after >= before);
    }
}
