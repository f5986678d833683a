//! Real nodes on the users' platform: the whole path, and what nodes know when the store fails.

use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use serde_json::json;

use crate::native_site::{HOST, KEY, LOOKUP_PATH, NativeSite, RESERVE_PATH, TEAM, event_ids};

/// The work of a plain request in tests that do not look at it.
const SHORT: Duration = Duration::from_millis(5);

#[tokio::test(flavor = "multi_thread")]
async fn streams_and_plain_calls_are_served_with_proof() {
    let site = NativeSite::start(2, 4, SHORT).await;
    site.wait_serving().await;
    for node in 0..2 {
        let answer = site.stream(node, &format!("s{node}"), "20").await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
        assert_eq!(event_ids(&answer), (1..=20).collect::<Vec<_>>());
        assert_eq!(answer.headers["x-attempt-id"], format!("s{node}"));
        assert!(answer.headers.contains_key("x-response-seal"));
    }
    let answer = site
        .ask(0, Method::POST, RESERVE_PATH, "r1", &[], "{}")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.text().ends_with(TEAM), "{}", answer.text());
    assert_eq!(site.fleet.runs.workers_of("r1").len(), 1);
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_catalog_does_not_allow_are_refused() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    let answer = site
        .ask(0, Method::GET, "/nowhere/", "a1", &[], "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
    let url = site.nodes[0].url(LOOKUP_PATH);
    let headers = [
        ("host", HOST),
        ("x-attempt-id", "a2"),
        ("authorization", "Token wrong"),
    ];
    let answer = site
        .client
        .call(Method::GET, &url, &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED);
    let long = "x".repeat(70_000);
    let answer = site
        .ask(0, Method::POST, RESERVE_PATH, "a3", &[], &long)
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    let headers = [("host", HOST), ("authorization", KEY)];
    let answer = site
        .client
        .call(Method::GET, &url, &headers, "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(site.fleet.runs.workers_of("a3"), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_lookup_runs_once_more_elsewhere_and_a_reservation_never() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.desk_failures.store(1, Ordering::Relaxed);
    let answer = site
        .ask(0, Method::GET, LOOKUP_PATH, "l1", &[], "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let mut workers = site.fleet.runs.workers_of("l1");
    workers.sort();
    assert_eq!(workers, ["p0", "p1"]);
    site.desk_failures.store(1, Ordering::Relaxed);
    let answer = site
        .ask(0, Method::POST, RESERVE_PATH, "r1", &[], "")
        .await
        .unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(site.fleet.runs.workers_of("r1").len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_the_store_refuses_learns_a_catalog_from_its_peers() {
    let site = NativeSite::start(3, 2, SHORT).await;
    site.wait_serving().await;
    site.refuse_store(1, true);
    let route = json!({
        "name": "new", "host": HOST, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 200, "service": crate::native_site::DESK, "maxAttempts": 2,
    });
    site.put_catalog(5, &[route]);
    let start = tokio::time::Instant::now();
    wait_until("the refused node has the route", async || {
        let answer = site.ask(1, Method::GET, "/new/", "n1", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
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
async fn forgotten_history_is_read_whole() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.refuse_store(0, true);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.put_catalog(7, &[]);
    site.fleet.rows.remove("servers", "p0");
    site.fleet.rows.put("op", "other", &json!({}));
    site.fleet.rows.discard_history();
    site.refuse_store(0, false);
    wait_until("the removed worker gets nothing", async || {
        let id = format!("h{}", rand_id());
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, &id, &[], "").await;
        answer.is_ok_and(|answer| answer.text().contains("p1"))
            && site.nodes[0].process.log().contains("\"catalog\":\"7\"")
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_to_a_zone_that_is_out() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.fleet.rows.put("op", "evacuate/za", &json!({}));
    wait_until("lookups are refused", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "z1", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
    .unwrap();
    let answer = site
        .ask(0, Method::GET, LOOKUP_PATH, "z2", &[], "")
        .await
        .unwrap();
    assert!(answer.headers.contains_key("retry-after"));
    assert_eq!(site.fleet.runs.workers_of("z2"), Vec::<String>::new());
    site.fleet.rows.remove("op", "evacuate/za");
    wait_until("lookups are served again", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "z3", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
}

/// Returns a number that no other request of the run has.
fn rand_id() -> u64 {
    use std::sync::atomic::AtomicU64;
    static NEXT: AtomicU64 = AtomicU64::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
