//! Tests of nodes on the users' platform: responses without a length, broken off or without end.

use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError};
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::native_catalog::native_catalog;
use crate::native_site::{API_KEY, HOST, NativeSite, event_ids};
use crate::raw_caller::{RawCaller, request_head};
use crate::raw_worker::{RawWorker, ResponseEnd, Script};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The services with a worker that follows a script, and the prefixes of their routes.
const RAW_PLAIN: &str = "raw-plain";
const RAW_STREAM: &str = "raw-stream";

/// How long a caller waits.
const TIMEOUT: Duration = Duration::from_millis(1_500);

/// How much later than that a request must have ended.
const END_SLACK: Duration = Duration::from_millis(500);

/// How long a slow caller waits before it reads.
const SLOW_CALLER_PAUSE: Duration = Duration::from_millis(500);

/// The head of a response that has neither a length nor chunks.
const PLAIN_HEAD: &str = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\n";

async fn site_with(service: &str, script: Script) -> (NativeSite, RawWorker) {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    let worker = RawWorker::start(&site.fleet, service, script).await;
    let route = |kind: &str, service: &str| {
        json!({
            "name": service, "host": HOST, "prefix": format!("/{service}/"), "kind": kind,
            "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1, "service": service,
            "maxAttempts": 1, "gapAimMs": 300,
        })
    };
    let routes = [
        route("idempotent", RAW_PLAIN),
        route("streaming", RAW_STREAM),
    ];
    let mut catalog = native_catalog(2, &routes);
    for name in [RAW_PLAIN, RAW_STREAM] {
        let service = json!({"name": name, "maxConnections": 50, "warmupS": 0, "coldPerS": 0});
        catalog["services"].as_array_mut().unwrap().push(service);
    }
    put_catalog(&site, &catalog);
    site.wait_serving().await;
    site.wait_catalog(2).await;
    (site, worker)
}

fn put_catalog(site: &NativeSite, catalog: &Value) {
    site.fleet.rows.put("op", "config", catalog);
}

async fn send(site: &NativeSite, service: &str) -> Result<HttpResponse, SiteError> {
    let key = format!("Token {API_KEY}");
    let timeout_ms = TIMEOUT.as_millis().to_string();
    let headers = [
        ("host", HOST),
        ("x-attempt-id", "raw-1"),
        ("x-deadline-ms", timeout_ms.as_str()),
        ("authorization", key.as_str()),
    ];
    let url = site.nodes[0].url(&format!("/{service}/x"));
    site.client.call(Method::GET, &url, &headers, "").await
}

/// Checks that a request fails, that the node leaves the worker alone in time, and that it goes on.
async fn check_fails_in_time(service: &str, script: Script) {
    let (site, worker) = site_with(service, script).await;
    let start = Instant::now();
    let left_alone = async {
        worker.wait_left_alone().await;
        start.elapsed()
    };
    let (response, elapsed) = tokio::join!(send(&site, service), left_alone);
    let is_success = response.is_ok_and(|response| response.status.is_success());
    assert!(!is_success, "{script:?}");
    assert!(elapsed < TIMEOUT + END_SLACK, "{elapsed:?} {script:?}");
    let response = site.stream(0, "after", "2").await.unwrap();
    assert_eq!(event_ids(&response), [1, 2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_ends_with_its_connection_is_whole() {
    let script = Script {
        start: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\nall of it",
        end: ResponseEnd::Close,
    };
    let (site, _worker) = site_with(RAW_PLAIN, script).await;
    let response = send(&site, RAW_PLAIN).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.text(), "all of it");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_response_reaches_a_slow_caller_before_its_connection_is_closed() {
    const LEN: usize = 7 << 20;
    let body = "b".repeat(LEN);
    let start = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-seal: s\r\n\
         content-length: {LEN}\r\n\r\n{body}"
    );
    let script = Script {
        start: start.leak(),
        end: ResponseEnd::Close,
    };
    let (site, _worker) = site_with(RAW_PLAIN, script).await;
    let mut caller = RawCaller::connect_with_small_buffer(&site.nodes[0]).await;
    let path = format!("/{RAW_PLAIN}/x");
    let head = request_head("GET", &path, "raw-1", "connection: close\r\n\r\n");
    caller.write(head).await.unwrap();
    sleep(SLOW_CALLER_PAUSE).await;
    let response = caller.read_response().await;
    assert_eq!(response.map(|response| response.status), Some(200));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_response_that_is_reset_before_its_end_is_no_success() {
    let script = Script {
        start: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\nhalf of",
        end: ResponseEnd::Reset,
    };
    check_fails_in_time(RAW_PLAIN, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_with_its_connection_is_whole() {
    let script = Script {
        start: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                content-type: text/event-stream\r\n\r\n\
                id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
        end: ResponseEnd::Close,
    };
    let (site, _worker) = site_with(RAW_STREAM, script).await;
    let response = send(&site, RAW_STREAM).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(event_ids(&response), [1, 2]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_ends_inside_an_event_is_broken_off() {
    let script = Script {
        start: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                content-type: text/event-stream\r\n\r\n\
                id: 1\ndata: a\n\nid: 2\ndata: b",
        end: ResponseEnd::Close,
    };
    check_fails_in_time(RAW_STREAM, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_without_end_fails_its_request_only() {
    let script = Script {
        start: "HTTP/1.1 200 OK\r\n",
        end: ResponseEnd::Repeat {
            text: "x-more: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
            pause: Duration::ZERO,
        },
    };
    check_fails_in_time(RAW_PLAIN, script).await;
    check_fails_in_time(RAW_STREAM, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_that_are_no_response_fail_their_request_only() {
    let script = Script {
        start: "",
        end: ResponseEnd::Repeat {
            text: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            pause: Duration::ZERO,
        },
    };
    check_fails_in_time(RAW_PLAIN, script).await;
    check_fails_in_time(RAW_STREAM, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_comes_byte_by_byte_without_end_fails_its_request_only() {
    let script = Script {
        start: "HTTP/1.1 200 OK\r\nx-more: ",
        end: ResponseEnd::Repeat {
            text: "a",
            pause: Duration::from_millis(50),
        },
    };
    check_fails_in_time(RAW_PLAIN, script).await;
    check_fails_in_time(RAW_STREAM, script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn interim_heads_without_end_fail_their_request_only() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        let text = "HTTP/1.1 103 Early Hints\r\nx-more: a\r\n\r\n";
        let script = Script {
            start: "",
            end: ResponseEnd::Repeat { text, pause },
        };
        check_fails_in_time(RAW_PLAIN, script).await;
        check_fails_in_time(RAW_STREAM, script).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_framed_body_without_end_fails_its_request_only() {
    const FILLER: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";
    const SLOW: Duration = Duration::from_millis(50);
    const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n";
    let cases = [
        (
            "content-length: 9000000000000000\r\n\r\n",
            "",
            FILLER,
            Duration::ZERO,
        ),
        (CHUNKED, "fffffffffffffff\r\n", FILLER, Duration::ZERO),
        (CHUNKED, "3;", FILLER, Duration::ZERO),
        (CHUNKED, "3;", "a", SLOW),
        (CHUNKED, "0\r\nx-trailer: ", FILLER, Duration::ZERO),
        (CHUNKED, "0\r\nx-trailer: ", "a", SLOW),
        (CHUNKED, "", "3\r\naaa\r\n", Duration::ZERO),
    ];
    for (service, media_type) in [(RAW_PLAIN, "text/plain"), (RAW_STREAM, "text/event-stream")] {
        for (framing, body, text, pause) in cases {
            let start = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {{id}}\r\nx-response-seal: s\r\n\
                 content-type: {media_type}\r\n{framing}{body}"
            );
            let script = Script {
                start: start.leak(),
                end: ResponseEnd::Repeat { text, pause },
            };
            check_fails_in_time(service, script).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_fails_its_request_only() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        let end = ResponseEnd::Repeat {
            text: "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
            pause,
        };
        let script = Script {
            start: PLAIN_HEAD,
            end,
        };
        check_fails_in_time(RAW_PLAIN, script).await;
        check_fails_in_time(RAW_STREAM, script).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_events_without_end_fails_its_request_only() {
    for pause in [Duration::ZERO, Duration::from_millis(50)] {
        for text in [": more\n\n", "data: more of an event that never ends"] {
            let script = Script {
                start: "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                        content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
                end: ResponseEnd::Repeat { text, pause },
            };
            check_fails_in_time(RAW_STREAM, script).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_end_that_is_no_stream_fails_its_request_only() {
    let script = Script {
        start: "HTTP/1.1 404 Not Found\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\n",
        end: ResponseEnd::Repeat {
            text: "a",
            pause: Duration::from_millis(50),
        },
    };
    check_fails_in_time(RAW_STREAM, script).await;
}
