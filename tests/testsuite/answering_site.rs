//! Sites with a service whose workers answer as a test says.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError, wait_until};
use http::Method;
use serde_json::json;

use crate::answering_worker::{Answer, AnsweringWorker, WorkerRequest};
use crate::native_catalog::native_catalog;
use crate::native_site::{HOST, NativeSite};

/// The service with answering workers, and the path prefixes of its three kinds of routes.
pub const ANSWERING: &str = "answering";
pub const LOOKUP: &str = "/answering-lookup/";
pub const RESERVE: &str = "/answering-reserve/";
pub const STREAM: &str = "/answering-stream/";

/// The service and the path prefix of the worker that shows which rows a node has read.
const MARKER: &str = "marker";
const MARKER_LOOKUP: &str = "/marker/";

/// Numbers the marker workers, so that their answers differ.
static MARK_COUNT: AtomicUsize = AtomicUsize::new(0);

/// The processing time of a plain request, on which no test with answering workers depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The target latency of the routes to answering workers, unless a test states another.
const TARGET_LATENCY_MS: u64 = 500;

/// Starts a site whose catalog contains the service with answering workers.
pub async fn answering_site(nodes: usize) -> NativeSite {
    let site = NativeSite::start(nodes, 2, SHORT_WORK).await;
    add_answering_service(&site).await;
    site
}

/// Starts the same with nodes that reach the instances over links of their own.
pub async fn answering_site_with_links(nodes: usize) -> NativeSite {
    let site = NativeSite::start_with_links(nodes, 2, SHORT_WORK).await;
    add_answering_service(&site).await;
    site
}

async fn add_answering_service(site: &NativeSite) {
    put_answering_catalog(site, 2, TARGET_LATENCY_MS);
    site.wait_serving().await;
    for node in 0..site.nodes.len() {
        wait_until("the catalog is in force", async || {
            site.metric(node, "cuminlb_catalog_version").await == 2
        })
        .await
        .unwrap();
    }
}

/// Writes a version of the catalog whose routes to answering workers have a target latency.
pub fn put_answering_catalog(site: &NativeSite, version: u64, target_latency_ms: u64) {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix.trim_matches('/'), "host": HOST, "prefix": prefix, "kind": kind,
            "timeoutMs": 8000, "targetLatencyMs": target_latency_ms, "priority": 1,
            "service": service, "maxAttempts": 2, "gapAimMs": 300, "resumable": true,
        })
    };
    let routes = [
        route(LOOKUP, "idempotent", ANSWERING),
        route(RESERVE, "non_idempotent", ANSWERING),
        route(STREAM, "streaming", ANSWERING),
        route(MARKER_LOOKUP, "idempotent", MARKER),
    ];
    let mut catalog = native_catalog(version, &routes);
    for name in [ANSWERING, MARKER] {
        let service = json!({"name": name, "maxConnections": 50, "warmupS": 0, "coldPerS": 0});
        catalog["services"].as_array_mut().unwrap().push(service);
    }
    site.fleet.rows.put("op", "config", &catalog);
}

/// Waits until the first node knows the rows that workers have written before.
pub async fn wait_rows_read(site: &NativeSite) {
    let mark = MARK_COUNT.fetch_add(1, Ordering::Relaxed).to_string();
    let text = mark.clone();
    let respond = move |_: &WorkerRequest| Answer::complete(200, "", &text);
    let _marker = AnsweringWorker::start(&site.fleet, "marker", MARKER, respond).await;
    wait_until("the node has read the rows", async || {
        let response = send(site, MARKER_LOOKUP, "marker").await;
        response.is_ok_and(|response| response.text() == mark)
    })
    .await
    .unwrap();
}

/// Sends a request of the team to the first node.
pub async fn send(site: &NativeSite, prefix: &str, id: &str) -> Result<HttpResponse, SiteError> {
    site.send(0, Method::GET, prefix, id, &[], "").await
}
