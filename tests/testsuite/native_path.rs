//! Tests of nodes on the users' platform: requests end to end, and how nodes get updates after
//! failed store calls.

use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use serde_json::json;

use crate::native_site::{API_KEY, HOST, LOOKUP_PATH, NativeSite, RESERVE_PATH, TEAM, event_ids};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_sealed_and_plain_calls_run_once() {
    let site = NativeSite::start(2, 4, SHORT_WORK).await;
    site.wait_serving().await;
    for node in 0..2 {
        let response = site.stream(node, &format!("s{node}"), "20").await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        assert_eq!(event_ids(&response), (1..=20).collect::<Vec<_>>());
        assert_eq!(response.headers["x-attempt-id"], format!("s{node}"));
        assert!(response.headers.contains_key("x-response-seal"));
    }
    let response = site
        .send(0, Method::POST, RESERVE_PATH, "r1", &[], "{}")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert!(response.text().ends_with(TEAM), "{}", response.text());
    assert_eq!(site.fleet.runs.workers_of("r1").len(), 1);
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_catalog_does_not_allow_are_refused() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let response = site
        .send(0, Method::GET, "/nowhere/", "a1", &[], "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    let url = site.nodes[0].url(LOOKUP_PATH);
    let headers = [
        ("host", HOST),
        ("x-attempt-id", "a2"),
        ("authorization", "Token wrong"),
    ];
    let response = site
        .client
        .call(Method::GET, &url, &headers, "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::UNAUTHORIZED);
    let long = "x".repeat(70_000);
    let response = site
        .send(0, Method::POST, RESERVE_PATH, "a3", &[], &long)
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    let headers = [("host", HOST), ("authorization", API_KEY)];
    let response = site
        .client
        .call(Method::GET, &url, &headers, "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert_eq!(site.fleet.runs.workers_of("a3"), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_lookup_is_retried_elsewhere_and_a_reservation_is_not() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site.worker_failures.store(1, Ordering::Relaxed);
    let response = site
        .send(0, Method::GET, LOOKUP_PATH, "l1", &[], "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
    let mut workers = site.fleet.runs.workers_of("l1");
    workers.sort();
    assert_eq!(workers, ["p0", "p1"]);
    site.worker_failures.store(1, Ordering::Relaxed);
    let response = site
        .send(0, Method::POST, RESERVE_PATH, "r1", &[], "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.fleet.runs.workers_of("r1").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_refused_by_the_store_gets_a_catalog_from_its_peers() {
    let site = NativeSite::start(3, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site.refuse_store(1, true);
    let route = json!({
        "name": "new", "host": HOST, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 200, "service": crate::native_site::PLAIN_SERVICE, "maxAttempts": 2,
    });
    site.put_catalog(5, &[route]);
    let start = tokio::time::Instant::now();
    wait_until("the node without the store has the route", async || {
        let response = site.send(1, Method::GET, "/new/", "n1", &[], "").await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
    assert!(
        start.elapsed() < Duration::from_secs(7),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_reads_all_rows_when_the_history_was_dropped() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site.refuse_store(0, true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.put_catalog(7, &[]);
    site.fleet.rows.remove("servers", "p0");
    site.fleet.rows.put("op", "other", &json!({}));
    site.fleet.rows.discard_history();
    site.refuse_store(0, false);
    wait_until("the removed worker gets no requests", async || {
        let id = format!("h{}", next_request_number());
        let response = site.send(0, Method::GET, LOOKUP_PATH, &id, &[], "").await;
        response.is_ok_and(|response| response.text().contains("p1"))
            && site.nodes[0].process.log().contains("\"catalog\":\"7\"")
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_to_a_zone_that_is_out() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site.fleet.rows.put("op", "evacuate/za", &json!({}));
    wait_until("lookups are refused", async || {
        let response = site.send(0, Method::GET, LOOKUP_PATH, "z1", &[], "").await;
        response.is_ok_and(|response| response.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
    .unwrap();
    let response = site
        .send(0, Method::GET, LOOKUP_PATH, "z2", &[], "")
        .await
        .unwrap();
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(site.fleet.runs.workers_of("z2"), Vec::<String>::new());
    site.fleet.rows.remove("op", "evacuate/za");
    wait_until("lookups are served again", async || {
        let response = site.send(0, Method::GET, LOOKUP_PATH, "z3", &[], "").await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
}

/// Returns a request number that is unique in this process.
fn next_request_number() -> u64 {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
