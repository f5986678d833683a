//! Tests of nodes on the users' platform: heads of groups that crash.

use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError, wait_until};
use http::{Method, StatusCode};
use tokio::time::{Instant, sleep};

use crate::native_site::{LOOKUP_PATH, MODEL, NativeSite, STREAM_PATH, event_ids};

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

/// The time within which a node takes the lease of a leader that was killed and repairs a group.
const TAKEOVER_BOUND: Duration = Duration::from_secs(8);

/// No node leads when a request finds that a head has crashed, and no request finds it again.
#[tokio::test(flavor = "multi_thread")]
async fn a_group_whose_head_crashed_while_no_node_led_is_formed_again() {
    let mut site = NativeSite::start(3, 3, SHORT_WORK).await;
    site.wait_serving().await;
    let leader = site.leader().unwrap();
    site.nodes[leader].process.kill().await;
    let head = site.open_head().unwrap();
    site.fleet.engine(&head).unwrap().crash(LONG_DOWNTIME);
    let crashed_at = Instant::now();
    let response = site.stream((leader + 1) % 3, "only", "3").await.unwrap();
    // It may have reached the head just before that ended, and has then perhaps run.
    let is_answered = matches!(
        response.status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::BAD_GATEWAY
    );
    assert!(is_answered, "{} {}", response.status, response.text());
    wait_until("another head serves", async || {
        site.open_head().is_some() || crashed_at.elapsed() > TAKEOVER_BOUND
    })
    .await
    .unwrap();
    assert!(site.open_head().is_some(), "no group was formed again");
    site.assert_no_violations();
}

/// The part of prompts that crashes engines.
const DEADLY_PART: &str = "dead01";

/// Requests a stream of three events for a prompt whose last part is of its own.
async fn stream_of(
    site: &NativeSite,
    node: usize,
    id: &str,
    shared_parts: &str,
) -> Result<HttpResponse, SiteError> {
    let parts = format!("{shared_parts},{id}:100");
    let headers = [
        ("x-model", MODEL),
        ("x-token-count", "1000,20"),
        ("x-prompt-prefix", parts.as_str()),
    ];
    site.send(node, Method::POST, STREAM_PATH, id, &headers, "3")
        .await
}

/// Returns whether a request for such a prompt is served.
async fn is_served(site: &NativeSite, node: usize, id: &str, shared_parts: &str) -> bool {
    let response = stream_of(site, node, id, shared_parts).await;
    response.is_ok_and(|response| response.status == StatusCode::OK)
}

/// Sends requests with the deadly part to the first node until it is refused.
async fn crash_until_refused(site: &NativeSite) {
    for number in 0..20 {
        let parts = format!("first:800,{DEADLY_PART}:200");
        let response = stream_of(site, 0, &format!("a{number}"), &parts).await;
        if response.is_ok_and(|response| response.text().contains("crash_suspected")) {
            return;
        }
        sleep(Duration::from_millis(150)).await;
    }
    panic!("{} engines crashed", site.fleet.crashes.count());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_crashes_instances_is_kept_back_by_all_nodes() {
    let site = NativeSite::start(3, 10, SHORT_WORK).await;
    site.wait_serving().await;
    site.wait_open_groups(3).await;
    site.fleet.crashes.set_deadly_part(Some(DEADLY_PART));
    assert!(is_served(&site, 0, "sound", "first:800").await);
    crash_until_refused(&site).await;
    sleep(Duration::from_millis(500)).await;
    let crashes = site.fleet.crashes.count();
    assert!(crashes <= 6, "{crashes} engines crashed");
    for number in 0..12 {
        let id = format!("b{number}");
        let parts = format!("first:800,{DEADLY_PART}:200,other{number}:50");
        let response = stream_of(&site, number % 3, &id, &parts).await.unwrap();
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.text().contains("not_run"), "{}", response.text());
        assert_eq!(site.fleet.runs.workers_of(&id), [] as [String; 0]);
    }
    assert_eq!(site.fleet.crashes.count(), crashes);
    wait_until(
        "requests that share the first part are served",
        async || is_served(&site, 1, "sound-again", "first:800").await,
    )
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_part_that_no_longer_crashes_instances_is_served_again() {
    let site = NativeSite::start(2, 8, SHORT_WORK).await;
    site.wait_serving().await;
    site.fleet.crashes.set_deadly_part(Some(DEADLY_PART));
    crash_until_refused(&site).await;
    site.fleet.crashes.set_deadly_part(None);
    let parts = format!("first:800,{DEADLY_PART}:200");
    for node in [0, 1] {
        wait_until("requests with the part are served", async || {
            is_served(&site, node, "after", &parts).await
        })
        .await
        .unwrap();
    }
}

/// Two workers and two tries: until the third crash and three seconds longer a request may crash both
/// of them four times, and later in three tries.
const MAX_PLAIN_CRASHES: usize = 11;

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_request_that_crashes_instances_is_kept_back_by_all_nodes() {
    let site = NativeSite::start(3, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let deadly_path = format!("{LOOKUP_PATH}bad");
    let sound_path = format!("{LOOKUP_PATH}good");
    site.fleet.crashes.set_deadly_path(Some(&deadly_path));
    for number in 0..10 {
        let node = number % 3;
        let id = format!("d{number}");
        let response = site.send(node, Method::GET, &deadly_path, &id, &[], "");
        assert!(!response.await.unwrap().status.is_success());
        // The workers are back after a second.
        sleep(Duration::from_millis(1_300)).await;
        let id = format!("s{number}");
        let response = site.send(node, Method::GET, &sound_path, &id, &[], "");
        assert_eq!(response.await.unwrap().status, StatusCode::OK);
    }
    let crashes = site.fleet.crashes.count();
    assert!(
        (3..=MAX_PLAIN_CRASHES).contains(&crashes),
        "{crashes} workers crashed"
    );
}
