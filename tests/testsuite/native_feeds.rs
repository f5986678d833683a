//! Real nodes on the users' platform: a few follow the store, and the others follow these.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::native_site::{DESK, HOST, NativeSite};

/// The work of a plain request in tests that do not look at it.
const SHORT: Duration = Duration::from_millis(5);

/// A time in which each node that follows the store calls it more than once.
const CALL_WINDOW: Duration = Duration::from_millis(2_000);

/// The time within which a catalog must be in force at all nodes that work.
const CATALOG_BOUND: Duration = Duration::from_secs(2);

/// Returns how often each node has called the store for rows.
async fn store_calls(site: &NativeSite) -> Vec<f64> {
    let mut calls = Vec::new();
    for node in &site.nodes {
        let url = node.metrics_url();
        let answer = site.client.call(Method::GET, &url, &[], "").await.unwrap();
        let text = answer.text();
        let lines = text
            .lines()
            .filter(|line| line.starts_with("cuminlb_store_calls_total"));
        let values = lines.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
        calls.push(values.sum());
    }
    calls
}

/// Returns the nodes that called the store within a while.
async fn callers(site: &NativeSite) -> Vec<usize> {
    let before = store_calls(site).await;
    sleep(CALL_WINDOW).await;
    let after = store_calls(site).await;
    let nodes = 0..site.nodes.len();
    nodes.filter(|&node| after[node] > before[node]).collect()
}

/// Returns a site of six nodes, at least half of which follow others.
async fn settled_site() -> NativeSite {
    let site = NativeSite::start(6, 4, SHORT).await;
    site.wait_serving().await;
    wait_until("half of the nodes leave the store alone", async || {
        callers(&site).await.len() <= 3
    })
    .await
    .unwrap();
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn few_nodes_call_the_store_for_all() {
    let site = settled_site().await;
    let lookups = (0..6).map(|node| site.stream(node, "all", "5"));
    for answer in futures_util::future::join_all(lookups).await {
        assert_eq!(answer.unwrap().status, StatusCode::OK);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_is_in_force_in_time_though_nodes_that_follow_the_store_freeze() {
    let site = settled_site().await;
    let frozen = callers(&site).await;
    assert!(!frozen.is_empty());
    for &node in &frozen {
        site.nodes[node].process.signal(Signal::SIGSTOP);
    }
    let route = json!({
        "name": "new", "host": HOST, "prefix": "/new/", "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 200, "service": DESK, "maxAttempts": 2,
    });
    site.put_catalog(5, &[route]);
    let start = Instant::now();
    for node in (0..6).filter(|node| !frozen.contains(node)) {
        wait_until("the node has the route", async || {
            let answer = site.ask(node, Method::GET, "/new/", "n1", &[], "").await;
            answer.is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await
        .unwrap();
    }
    assert!(start.elapsed() < CATALOG_BOUND, "{:?}", start.elapsed());
    for &node in &frozen {
        site.nodes[node].process.signal(Signal::SIGCONT);
    }
}
