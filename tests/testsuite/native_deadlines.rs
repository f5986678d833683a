//! Tests of nodes on the users' platform: requests whose route gets another timeout while they run.

use std::time::Duration;

use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::native_site::{ENGINE_SERVICE, HOST, MODEL, NativeSite, PLAIN_SERVICE, event_ids};

/// The processing time of a plain request, longer than the first timeout of its route.
const LONG_WORK: Duration = Duration::from_millis(2_200);

/// The timeouts of a route in the first and in the second catalog, in milliseconds.
const SHORT_TIMEOUT_MS: u64 = 1_200;
const LONG_TIMEOUT_MS: u64 = 8_000;

/// When the second catalog is written, after the requests were sent.
const CHANGE_DELAY: Duration = Duration::from_millis(300);

/// The prefixes of the routes whose timeout changes.
const STREAM_PREFIX: &str = "/slow-stream/";
const LOOKUP_PREFIX: &str = "/slow-lookup/";
const RESERVE_PREFIX: &str = "/slow-reserve/";

/// The number of events of a stream that takes longer than the first timeout of its route.
const EVENTS: u64 = 400;

fn put_routes(site: &NativeSite, version: u64, timeout_ms: u64) {
    let route = |prefix: &str, kind: &str, service: &str| -> Value {
        json!({
            "name": prefix, "host": HOST, "prefix": prefix, "kind": kind, "resumable": true,
            "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1, "service": service,
            "maxAttempts": 1, "gapAimMs": 300,
        })
    };
    let routes = [
        route(STREAM_PREFIX, "streaming", ENGINE_SERVICE),
        route(LOOKUP_PREFIX, "idempotent", PLAIN_SERVICE),
        route(RESERVE_PREFIX, "non_idempotent", PLAIN_SERVICE),
    ];
    site.put_catalog(version, &routes);
}

async fn slow_site() -> NativeSite {
    let site = NativeSite::start(1, 2, LONG_WORK).await;
    site.wait_serving().await;
    put_routes(&site, 2, SHORT_TIMEOUT_MS);
    site.wait_catalog(2).await;
    site
}

async fn change_routes(site: &NativeSite, timeout_ms: u64) {
    sleep(CHANGE_DELAY).await;
    put_routes(site, 3, timeout_ms);
    site.wait_catalog(3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_timeout_holds_for_a_stream_that_runs() {
    let site = slow_site().await;
    let events = EVENTS.to_string();
    let headers = [("x-model", MODEL), ("x-token-count", "100,400")];
    let stream = site.send(0, Method::POST, STREAM_PREFIX, "s1", &headers, &events);
    let start = Instant::now();
    let (stream, ()) = tokio::join!(stream, change_routes(&site, LONG_TIMEOUT_MS));
    let stream = stream.unwrap();
    assert_eq!(event_ids(&stream), (1..=EVENTS).collect::<Vec<_>>());
    assert!(start.elapsed() > Duration::from_millis(SHORT_TIMEOUT_MS));
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_timeout_holds_for_a_plain_request_that_waits() {
    let site = slow_site().await;
    let lookup = site.send(0, Method::GET, LOOKUP_PREFIX, "l1", &[], "");
    let reserve = site.send(0, Method::POST, RESERVE_PREFIX, "r1", &[], "");
    let change = change_routes(&site, LONG_TIMEOUT_MS);
    let (lookup, reserve, ()) = tokio::join!(lookup, reserve, change);
    assert_eq!(lookup.unwrap().status, StatusCode::OK);
    assert_eq!(reserve.unwrap().status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_longer_timeout_does_not_exceed_that_of_the_caller() {
    let site = slow_site().await;
    let headers = [("x-deadline-ms", "1600")];
    let url = site.nodes[0].url(RESERVE_PREFIX);
    let key = format!("Token {}", crate::native_site::API_KEY);
    let headers = [
        ("host", HOST),
        ("x-attempt-id", "r2"),
        headers[0],
        ("authorization", key.as_str()),
    ];
    let start = Instant::now();
    let call = async {
        let response = site.client.call(Method::POST, &url, &headers, "").await;
        (response.unwrap().status, start.elapsed())
    };
    let change = change_routes(&site, LONG_TIMEOUT_MS);
    let ((status, elapsed), ()) = tokio::join!(call, change);
    assert_eq!(status, StatusCode::GATEWAY_TIMEOUT);
    assert!(elapsed > Duration::from_millis(1_500), "{elapsed:?}");
    assert!(elapsed < Duration::from_millis(1_900), "{elapsed:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_shorter_timeout_or_a_removed_route_does_not_end_a_request_that_runs() {
    let site = NativeSite::start(1, 2, LONG_WORK).await;
    site.wait_serving().await;
    put_routes(&site, 2, LONG_TIMEOUT_MS);
    site.wait_catalog(2).await;
    let events = EVENTS.to_string();
    let headers = [("x-model", MODEL), ("x-token-count", "100,400")];
    let stream = site.send(0, Method::POST, STREAM_PREFIX, "s1", &headers, &events);
    let reserve = site.send(0, Method::POST, RESERVE_PREFIX, "r1", &[], "");
    let change = async {
        change_routes(&site, SHORT_TIMEOUT_MS).await;
        site.put_catalog(4, &[]);
    };
    let (stream, reserve, ()) = tokio::join!(stream, reserve, change);
    assert_eq!(event_ids(&stream.unwrap()).len(), EVENTS as usize);
    assert_eq!(reserve.unwrap().status, StatusCode::OK);
}

/// A removed route leaves its path to another route, whose timeout is longer.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_does_not_take_over_the_timeout_of_another_route() {
    let site = NativeSite::start(1, 2, Duration::from_millis(4_000)).await;
    site.wait_serving().await;
    let wide = reserve_route("/wide/", LONG_TIMEOUT_MS);
    let removed = reserve_route("/wide/short/", SHORT_TIMEOUT_MS);
    site.put_catalog(2, &[wide.clone(), removed]);
    site.wait_catalog(2).await;
    let start = Instant::now();
    let request = async {
        let sent = site.send(0, Method::POST, "/wide/short/x", "r1", &[], "");
        (sent.await.unwrap().status, start.elapsed())
    };
    let change = async {
        sleep(CHANGE_DELAY).await;
        site.put_catalog(3, &[wide]);
        site.wait_catalog(3).await;
    };
    let ((status, elapsed), ()) = tokio::join!(request, change);
    assert!(
        elapsed < Duration::from_millis(1_700),
        "{status} {elapsed:?}"
    );
}

fn reserve_route(prefix: &str, timeout_ms: u64) -> Value {
    json!({
        "name": prefix, "host": HOST, "prefix": prefix, "kind": "non_idempotent",
        "timeoutMs": timeout_ms, "targetLatencyMs": 500, "priority": 1, "service": PLAIN_SERVICE,
        "maxAttempts": 1,
    })
}

/// A timeout that was longer for a while counts only while it is in the newest catalog.
#[tokio::test(flavor = "multi_thread")]
async fn a_timeout_that_is_shortened_again_ends_a_request_in_time() {
    let site = NativeSite::start(1, 2, Duration::from_millis(4_000)).await;
    site.wait_serving().await;
    put_routes(&site, 2, SHORT_TIMEOUT_MS);
    site.wait_catalog(2).await;
    let start = Instant::now();
    let request = async {
        let sent = site.send(0, Method::POST, RESERVE_PREFIX, "r1", &[], "");
        (sent.await.unwrap().status, start.elapsed())
    };
    let change = async {
        change_routes(&site, LONG_TIMEOUT_MS).await;
        sleep(Duration::from_millis(1_200)).await;
        put_routes(&site, 4, SHORT_TIMEOUT_MS);
        site.wait_catalog(4).await;
    };
    let ((status, elapsed), ()) = tokio::join!(request, change);
    assert!(
        elapsed < Duration::from_millis(3_000),
        "{status} {elapsed:?}"
    );
}
