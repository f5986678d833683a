//! Tests of nodes on the users' platform: a few nodes follow the store, the others follow these.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::native_site::{HOST, NativeSite, PLAIN_SERVICE};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// A time window in which each node that follows the store calls it more than once.
const CALL_WINDOW: Duration = Duration::from_millis(2_000);

/// The time within which a catalog must be active on all nodes that are not paused.
const CATALOG_BOUND: Duration = Duration::from_secs(2);

/// Returns the number of store calls of each node.
async fn store_calls(site: &NativeSite) -> Vec<u64> {
    let mut calls = Vec::new();
    for node in 0..site.nodes.len() {
        calls.push(site.metric(node, "cuminlb_store_calls_total").await);
    }
    calls
}

/// Returns the nodes that call the store within [`CALL_WINDOW`].
pub async fn store_callers(site: &NativeSite) -> Vec<usize> {
    let before = store_calls(site).await;
    sleep(CALL_WINDOW).await;
    let after = store_calls(site).await;
    let nodes = 0..site.nodes.len();
    nodes.filter(|&node| after[node] > before[node]).collect()
}

/// Starts a site of six nodes, and waits until at least half of them follow other nodes.
async fn start_settled_site() -> NativeSite {
    let site = NativeSite::start(6, 4, SHORT_WORK).await;
    site.wait_serving().await;
    wait_until("half of the nodes stop calling the store", async || {
        store_callers(&site).await.len() <= 3
    })
    .await
    .unwrap();
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn few_nodes_call_the_store_on_behalf_of_all() {
    let site = start_settled_site().await;
    let lookups = (0..6).map(|node| site.stream(node, "all", "5"));
    for response in futures_util::future::join_all(lookups).await {
        assert_eq!(response.unwrap().status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_takes_effect_in_time_while_nodes_that_follow_the_store_are_paused() {
    let site = start_settled_site().await;
    let paused = store_callers(&site).await;
    assert!(!paused.is_empty());
    for &node in &paused {
        site.nodes[node].process.signal(Signal::SIGSTOP);
    }
    let route = json!({
        "name": "new", "host": HOST, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 200, "service": PLAIN_SERVICE, "maxAttempts": 2,
    });
    site.put_catalog(5, &[route]);
    let start = Instant::now();
    for node in (0..6).filter(|node| !paused.contains(node)) {
        wait_until("the node has the route", async || {
            let response = site.send(node, Method::GET, "/new/", "n1", &[], "").await;
            response.is_ok_and(|response| response.status == StatusCode::OK)
        })
        .await
        .unwrap();
    }
    assert!(start.elapsed() < CATALOG_BOUND, "{:?}", start.elapsed());
    for &node in &paused {
        site.nodes[node].process.signal(Signal::SIGCONT);
    }
}
