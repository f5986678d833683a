//! Tests of nodes on the users' platform: bodies of callers and of instances, all at once, do not
//! exceed the memory of a process.

use std::time::Duration;

use cuminlb_test_support::{HttpResponse, SiteError, wait_until};
use futures_util::future::join_all;
use http::{Method, StatusCode};
use serde_json::json;
use tokio::time::sleep;

use crate::native_catalog::native_catalog;
use crate::native_site::{API_KEY, HOST, LOOKUP_PATH, NativeSite};
use crate::raw_caller::{RawCaller, request_head};
use crate::raw_worker::{RawWorker, ResponseEnd, Script};

/// The memory of the node.
const MEMORY_MB: u64 = 64;

/// The processing time of a plain request.
const WORK: Duration = Duration::from_millis(30);

/// The number of requests that are sent at once.
const REQUESTS: usize = 48;

/// The number of services, each with one worker, which takes a few requests at once.
const SERVICES: [&str; 8] = ["s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7"];

/// How long a caller waits.
const TIMEOUT_MS: &str = "3000";

/// The size of a long body of a caller.
const LONG_BODY_BYTES: usize = 4 << 20;

/// How long a slow caller reads nothing.
const SLOW_CALLER_PAUSE: Duration = Duration::from_millis(1_000);

/// Starts a node that has little memory, with a catalog that allows long bodies.
async fn small_node(services: &[&str]) -> NativeSite {
    let mut site = NativeSite::start(1, 2, WORK).await;
    let settings = &site.nodes[0].settings;
    let text = std::fs::read_to_string(settings).unwrap();
    let text = text.replace(
        "[bounds]\n",
        &format!("[bounds]\nmemory_mb = {MEMORY_MB}\n"),
    );
    std::fs::write(settings, text).unwrap();
    site.nodes[0].process.kill().await;
    let routes = services.iter().flat_map(|service| {
        ["idempotent", "streaming"].map(|kind| {
            json!({
                "name": format!("{service}-{kind}"), "host": HOST,
                "prefix": format!("/{service}/{kind}/"), "kind": kind, "timeoutMs": 8000,
                "targetLatencyMs": 500, "priority": 1, "service": service, "maxAttempts": 1,
                "gapAimMs": 300,
            })
        })
    });
    let mut catalog = native_catalog(2, &routes.collect::<Vec<_>>());
    catalog["limits"]["maxBodyBytes"] = json!(LONG_BODY_BYTES);
    for name in services {
        let service = json!({"name": name, "maxConnections": 100, "warmupS": 0, "coldPerS": 0});
        catalog["services"].as_array_mut().unwrap().push(service);
    }
    site.fleet.rows.put("op", "config", &catalog);
    site.restart_node(0);
    site.wait_serving().await;
    site.wait_catalog(2).await;
    site
}

/// Starts the worker of each service.
async fn start_workers(site: &NativeSite, script: Script) -> Vec<RawWorker> {
    let workers = SERVICES.map(|service| RawWorker::start(&site.fleet, service, script));
    join_all(workers).await
}

async fn send(
    site: &NativeSite,
    path: &str,
    id: &str,
    body: String,
) -> Result<HttpResponse, SiteError> {
    let key = format!("Token {API_KEY}");
    let headers = [
        ("host", HOST),
        ("x-attempt-id", id),
        ("x-deadline-ms", TIMEOUT_MS),
        ("authorization", key.as_str()),
    ];
    let url = site.nodes[0].url(path);
    site.client.call(Method::POST, &url, &headers, body).await
}

/// Returns the largest resident size that the process of the node has had, in megabytes.
fn peak_mb(site: &NativeSite) -> u64 {
    let pid = site.nodes[0].process.id().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let mut lines = status.lines();
    let peak = lines.find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
    let kib: u64 = peak.trim().trim_end_matches(" kB").parse().unwrap();
    kib / 1_024
}

/// Checks that the node has kept within its memory, and that it serves.
async fn check_node(site: &NativeSite) {
    let peak_mb = peak_mb(site);
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB");
    wait_until("the node serves", async || {
        let response = site
            .send(0, Method::GET, LOOKUP_PATH, "after", &[], "")
            .await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
}

/// Sends requests to workers that respond without end, beside lookups, which must be served.
async fn check_endless_responses(kind: &str, start: &'static str, text: &'static str) {
    let site = small_node(&SERVICES).await;
    let end = ResponseEnd::Repeat {
        text,
        pause: Duration::ZERO,
    };
    let _workers = start_workers(&site, Script { start, end }).await;
    let requests = (0..REQUESTS).map(|number| {
        let path = format!("/{}/{kind}/x", SERVICES[number % SERVICES.len()]);
        let site = &site;
        async move { send(site, &path, &format!("endless{number}"), String::new()).await }
    });
    let lookups = async {
        for number in 0..10 {
            let id = format!("lookup{number}");
            let response = site.send(0, Method::GET, LOOKUP_PATH, &id, &[], "").await;
            assert_eq!(response.unwrap().status, StatusCode::OK, "{id}");
            sleep(WORK).await;
        }
    };
    let (responses, ()) = tokio::join!(join_all(requests), lookups);
    for response in responses {
        let is_success = response.is_ok_and(|response| response.status.is_success());
        assert!(!is_success || kind == "streaming");
    }
    check_node(&site).await;
}

/// Guards against LOST: responses without end, each within its own limit, exceeded the memory of the
/// process, and the requests of other callers ended with it.
#[tokio::test(flavor = "multi_thread")]
async fn plain_responses_without_end_keep_within_the_memory() {
    let start = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\r\n";
    check_endless_responses(
        "idempotent",
        start,
        "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa",
    )
    .await;
}

/// Guards against the same with events without end.
#[tokio::test(flavor = "multi_thread")]
async fn events_without_end_keep_within_the_memory() {
    let start = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
                 content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n";
    check_endless_responses("streaming", start, "data: more of an event that never ends").await;
}

/// Sends requests whose callers do not read to a worker that responds with much, and then reads.
async fn check_slow_callers(kind: &str, script: Script) {
    let site = small_node(&SERVICES).await;
    let _workers = start_workers(&site, script).await;
    let mut callers = Vec::new();
    for number in 0..REQUESTS {
        let mut caller = RawCaller::connect_with_small_buffer(&site.nodes[0]).await;
        let path = format!("/{}/{kind}/x", SERVICES[number % SERVICES.len()]);
        let head = request_head("GET", &path, &format!("slow{number}"), "\r\n");
        caller.write(head).await.unwrap();
        callers.push(caller);
    }
    sleep(SLOW_CALLER_PAUSE).await;
    check_node(&site).await;
}

/// Guards against the same with whole responses that slow callers have not read yet.
#[tokio::test(flavor = "multi_thread")]
async fn responses_to_slow_callers_keep_within_the_memory() {
    let head = "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n";
    let body = "b".repeat(LONG_BODY_BYTES);
    let start = format!("{head}content-length: {LONG_BODY_BYTES}\r\n\r\n{body}");
    let script = Script {
        start: start.leak(),
        end: ResponseEnd::Close,
    };
    check_slow_callers("idempotent", script).await;
}

/// Guards against LOST: long bodies of callers, each as long as the catalog allows, exceeded the memory
/// of the process.
#[tokio::test(flavor = "multi_thread")]
async fn long_bodies_of_callers_keep_within_the_memory() {
    let site = small_node(&[]).await;
    let body = "b".repeat(LONG_BODY_BYTES);
    let requests = (0..REQUESTS).map(|number| {
        let (site, body) = (&site, body.clone());
        async move {
            let id = format!("long{number}");
            let response = send(site, LOOKUP_PATH, &id, body).await;
            (id, response.unwrap().status)
        }
    });
    let statuses = join_all(requests).await;
    let served = statuses
        .iter()
        .filter(|(_, status)| *status == StatusCode::OK);
    assert!(served.count() > 0, "{statuses:?}");
    for (id, status) in &statuses {
        let has_run = !site.fleet.runs.workers_of(id).is_empty();
        let is_refused = *status == StatusCode::SERVICE_UNAVAILABLE && !has_run;
        assert!(*status == StatusCode::OK || is_refused, "{id}: {status}");
    }
    check_node(&site).await;
}
