//! Tests of nodes on the users' platform: refusals that are known before the body was sent.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::native_site::{API_KEY, LOOKUP_PATH, NativeSite, RESERVE_PATH};
use crate::raw_caller::{RawCaller, head_with_key, request_head};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The pause of a caller between two parts of a request.
const PAUSE: Duration = Duration::from_millis(60);

/// A path without a route.
const UNKNOWN_PATH: &str = "/nowhere/";

async fn serving_site() -> NativeSite {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site
}

/// Sends a request in two parts with a pause between them and returns the status of its response.
async fn send_in_parts(caller: &mut RawCaller, head: &str, first: &str, rest: &str) -> Option<u16> {
    caller.write(format!("{head}{first}")).await.ok()?;
    sleep(PAUSE).await;
    caller.write(rest).await.ok()?;
    let response = caller.read_response().await;
    response.map(|response| response.status)
}

/// The ends of a head and the parts of a body that follow it, with a length and in chunks.
const BODIES: [(&str, &str, &str); 2] = [
    ("content-length: 8\r\n\r\n", "half", "half"),
    (
        "transfer-encoding: chunked\r\n\r\n",
        "4\r\nhalf\r\n",
        "4\r\nhalf\r\n0\r\n\r\n",
    ),
];

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_before_the_body_was_sent_keeps_the_connection() {
    let site = serving_site().await;
    let cases = [
        (UNKNOWN_PATH, API_KEY, 404),
        (LOOKUP_PATH, "unknown-key", 401),
    ];
    for (path, key, status) in cases {
        for (end, first, rest) in BODIES {
            let mut caller = RawCaller::connect(&site.nodes[0]).await;
            let head = head_with_key("POST", path, "early", key, end);
            let answered = send_in_parts(&mut caller, &head, first, rest).await;
            assert_eq!(answered, Some(status), "{path} {end:?}");
            let next = caller.get(LOOKUP_PATH, "next").await;
            assert_eq!(next.map(|next| next.status), Some(200), "{path} {end:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_a_catalog_keeps_the_connection() {
    let mut site = NativeSite::start(0, 2, SHORT_WORK).await;
    site.fleet.rows.remove("op", "config");
    site.add_node().await;
    site.wait_listening(0).await;
    for (end, first, rest) in BODIES {
        let mut caller = RawCaller::connect(&site.nodes[0]).await;
        let head = request_head("POST", RESERVE_PATH, "early", end);
        let answered = send_in_parts(&mut caller, &head, first, rest).await;
        assert_eq!(answered, Some(503), "{end:?}");
        let next = caller.get(LOOKUP_PATH, "next").await;
        assert_eq!(next.map(|next| next.status), Some(503), "{end:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_refusal_of_a_long_body_reaches_a_caller_that_sends_it_whole() {
    let site = serving_site().await;
    let body = "x".repeat(6 << 20);
    for path in [RESERVE_PATH, UNKNOWN_PATH] {
        let mut caller = RawCaller::connect(&site.nodes[0]).await;
        let end = format!("content-length: {}\r\n\r\n", body.len());
        caller
            .write(request_head("POST", path, "long", &end))
            .await
            .unwrap();
        caller.write(&body).await.unwrap();
        let response = caller.read_response().await.unwrap();
        let expected = if path == RESERVE_PATH { 413 } else { 404 };
        assert_eq!(response.status, expected);
        assert!(
            response.head.contains("connection: close"),
            "{}",
            response.head
        );
        caller.wait_closed().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_that_waits_to_be_asked_for_its_body_is_not_asked() {
    let site = serving_site().await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let end = "expect: 100-continue\r\ncontent-length: 8\r\n\r\n";
    let head = request_head("POST", UNKNOWN_PATH, "asks", end);
    caller.write(head).await.unwrap();
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(404));
    caller.wait_closed().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_is_sent_before_the_caller_has_left() {
    let site = serving_site().await;
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let head = request_head(
        "POST",
        UNKNOWN_PATH,
        "slow",
        "content-length: 8\r\n\r\nhalf",
    );
    let head = head.replace("x-deadline-ms: 8000", "x-deadline-ms: 800");
    caller.write(head).await.unwrap();
    let start = Instant::now();
    let response = caller.read_response().await;
    let elapsed = start.elapsed();
    assert_eq!(response.map(|response| response.status), Some(404));
    assert!(elapsed < Duration::from_millis(800), "{elapsed:?}");
}
