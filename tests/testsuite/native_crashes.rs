//! Tests of nodes on the users' platform: heads of groups that crash.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::StatusCode;
use tokio::time::{Instant, sleep};

use crate::native_site::{NativeSite, event_ids};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// A time that is longer than a test lasts.
const LONG_DOWNTIME: Duration = Duration::from_secs(60);

/// The time within which a group that lost its head must serve again, although the head's entry is
/// still there.
const REPAIR_BOUND: Duration = Duration::from_secs(2);

#[tokio::test(flavor = "multi_thread")]
async fn a_group_whose_head_crashed_is_formed_again_before_the_entry_is_gone() {
    let site = NativeSite::start(2, 3, SHORT_WORK).await;
    site.wait_serving().await;
    let head = site.open_head().unwrap();
    site.fleet.engine(&head).unwrap().crash(LONG_DOWNTIME);
    let crashed_at = Instant::now();
    wait_until("a group serves again", async || {
        let response = site.stream(1, "after", "3").await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
    assert!(
        crashed_at.elapsed() < REPAIR_BOUND,
        "{:?}",
        crashed_at.elapsed()
    );
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_head_is_not_tried_again_and_again() {
    let site = NativeSite::start(1, 6, SHORT_WORK).await;
    site.wait_serving().await;
    site.wait_open_groups(2).await;
    let head = site.open_head().unwrap();
    site.fleet.engine(&head).unwrap().crash(LONG_DOWNTIME);
    sleep(Duration::from_millis(100)).await;
    for number in 0..30 {
        let response = site.stream(0, &format!("s{number}"), "2").await.unwrap();
        assert_eq!(event_ids(&response), [1, 2]);
    }
    let refused = site.metric(0, "cuminlb_connections_refused_total").await;
    assert!((1..=4).contains(&refused), "{refused} refused connections");
    site.assert_no_violations();
}
