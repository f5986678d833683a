//! Tests of nodes on the users' platform: the limits of the newest catalog hold for open connections.

use std::time::Duration;

use nix::sys::signal::Signal;
use serde_json::Value;
use tokio::time::{Instant, sleep};

use crate::native_catalog::native_catalog;
use crate::native_site::{LOOKUP_PATH, NativeSite};
use crate::raw_caller::{RawCaller, request_head};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

async fn serving_site() -> NativeSite {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site
}

/// Writes a version of the catalog with other limits and waits until it is in force.
async fn put_limits(site: &NativeSite, version: u64, limits: &[(&str, u64)]) {
    let mut catalog = native_catalog(version, &[]);
    for (name, limit) in limits {
        catalog["limits"][name] = Value::from(*limit);
    }
    site.fleet.rows.put("op", "config", &catalog);
    site.wait_catalog(version).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_idle_time_holds_for_open_connections() {
    let site = serving_site().await;
    put_limits(&site, 2, &[("idleTimeoutMs", 1_500)]).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let first = caller.get(LOOKUP_PATH, "first").await.unwrap();
    assert_eq!(first.status, 200);
    put_limits(&site, 3, &[("idleTimeoutMs", 5_000)]).await;
    sleep(Duration::from_millis(3_500)).await;
    let later = caller.get(LOOKUP_PATH, "later").await;
    assert_eq!(later.map(|later| later.status), Some(200));
    let idle_since = Instant::now();
    caller.wait_closed().await;
    let idle = idle_since.elapsed();
    assert!(idle >= Duration::from_millis(4_900), "{idle:?}");
    assert!(idle < Duration::from_millis(6_500), "{idle:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_larger_head_is_accepted_on_open_connections() {
    let site = serving_site().await;
    put_limits(&site, 2, &[("maxHeaderBytes", 4_096)]).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let filler = format!("x-filler: {}\r\n\r\n", "f".repeat(50_000));
    let head = request_head("GET", LOOKUP_PATH, "large", &filler);
    put_limits(&site, 3, &[("maxHeaderBytes", 65_536)]).await;
    caller.write(&head).await.unwrap();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
    put_limits(&site, 4, &[("maxHeaderBytes", 4_096)]).await;
    caller.write(&head).await.unwrap();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(431));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_begins_late_in_the_idle_time_is_answered() {
    let site = serving_site().await;
    let limits = [("idleTimeoutMs", 1_000), ("headerTimeoutMs", 3_000)];
    put_limits(&site, 2, &limits).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let first = caller.get(LOOKUP_PATH, "first").await.unwrap();
    assert_eq!(first.status, 200);
    sleep(Duration::from_millis(800)).await;
    let head = request_head("GET", LOOKUP_PATH, "slow", "\r\n");
    let (start, rest) = head.split_at(head.len() / 2);
    caller.write(start).await.unwrap();
    sleep(Duration::from_millis(800)).await;
    caller.write(rest).await.unwrap();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_a_paused_node_finds_after_the_idle_time_is_answered() {
    let site = serving_site().await;
    put_limits(&site, 2, &[("idleTimeoutMs", 1_000)]).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let first = caller.get(LOOKUP_PATH, "first").await.unwrap();
    assert_eq!(first.status, 200);
    site.nodes[0].process.signal(Signal::SIGSTOP);
    let head = request_head("GET", LOOKUP_PATH, "paused", "\r\n");
    caller.write(head).await.unwrap();
    sleep(Duration::from_millis(1_500)).await;
    site.nodes[0].process.signal(Signal::SIGCONT);
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_is_not_whole_in_its_time_ends_its_connection() {
    let site = serving_site().await;
    put_limits(&site, 2, &[("headerTimeoutMs", 1_000)]).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    caller
        .write(request_head("GET", LOOKUP_PATH, "slow", ""))
        .await
        .unwrap();
    let since = Instant::now();
    caller.wait_closed().await;
    let elapsed = since.elapsed();
    assert!(elapsed >= Duration::from_millis(900), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(2_000), "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_very_large_head_that_the_catalog_allows_is_accepted() {
    let site = serving_site().await;
    put_limits(&site, 2, &[("maxHeaderBytes", 400_000)]).await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let filler = format!("x-filler: {}\r\n\r\n", "f".repeat(300_000));
    let head = request_head("GET", LOOKUP_PATH, "large", &filler);
    let (start, rest) = head.split_at(head.len() - 10);
    caller.write(start).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    caller.write(rest).await.unwrap();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_are_sent_together_are_all_answered() {
    let site = serving_site().await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let body = "content-length: 4\r\n\r\nbody";
    let requests = [
        request_head("GET", LOOKUP_PATH, "first", "\r\n"),
        request_head("POST", "/nowhere/", "second", body),
        request_head("POST", LOOKUP_PATH, "third", body),
    ];
    caller.write(requests.concat()).await.unwrap();
    for status in [200, 404, 200] {
        let response = caller.read_response().await;
        assert_eq!(response.map(|response| response.status), Some(status));
    }
}
