//! Tests of nodes on the users' platform: faults while another node forwards a request.

use std::time::Duration;

use cuminlb_native_standins::LinkMode;
use cuminlb_test_support::{HttpResponse, wait_until};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::native_catalog::native_catalog;
use crate::native_site::{HOST, NativeSite, RESERVE_PATH, event_ids};
use crate::partitioned_site::{CONTACT, CUT, ENGINES, NODES, serving_site, serving_site_with};
use crate::raw_caller::{RawCaller, request_head};
use crate::scripted_worker::Step::{self, Send, Wait};
use crate::scripted_worker::{ReceivedRequest, ScriptedWorker};

/// The time within which another node must send a request in place of the first.
const HELPER_BOUND: Duration = Duration::from_secs(2);

/// The processing time of a plain request during which the node that sent it is killed.
const LONG_WORK: Duration = Duration::from_millis(1_000);

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_response_is_lost_between_nodes_is_not_repeated_nor_called_not_run() {
    let site = serving_site_with(ENGINES, LONG_WORK).await;
    site.set_links(CUT, LinkMode::Hang).await;
    sleep(CONTACT).await;
    let reserve = site.send(CUT, Method::POST, RESERVE_PATH, "lost", &[], "{}");
    let loss = async {
        let helper = site.wait_helper(CUT, "lost", HELPER_BOUND).await;
        let runs = || site.fleet.runs.workers_of("lost").len();
        wait_until("the request runs", async || runs() > 0)
            .await
            .unwrap();
        site.nodes[helper].process.signal(Signal::SIGKILL);
    };
    let (response, ()) = tokio::join!(reserve, loss);
    let status = response.unwrap().status;
    let is_unknown = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT].contains(&status);
    assert!(is_unknown, "{status}");
    sleep(LONG_WORK).await;
    assert_eq!(site.fleet.runs.workers_of("lost").len(), 1);
}

/// The time within which the work for a caller that has left must end.
const LEAVE_BOUND: Duration = Duration::from_millis(500);

/// How long a caller waits before it leaves.
const CALLER_PATIENCE: Duration = Duration::from_millis(200);

/// The scripts of workers that go on until their caller leaves, and the path of their routes.
const SCRIPTED_PATH: &str = "/scripted/";
const ENDLESS_WORK: &[Step] = &[Wait(Duration::from_secs(60))];
const ENDLESS_STREAM: &[Step] = &[
    Send(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-response-seal: s\r\n\
         content-type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n",
    ),
    Wait(Duration::from_secs(60)),
];

/// Starts the only worker of a new service, with a route of a kind to it.
async fn start_scripted(site: &NativeSite, kind: &str, script: &'static [Step]) -> ScriptedWorker {
    let route = json!({
        "name": "scripted", "host": HOST, "prefix": SCRIPTED_PATH, "kind": kind,
        "timeoutMs": 8000, "targetLatencyMs": 500, "priority": 1, "service": "scripted",
        "maxAttempts": 2, "gapAimMs": 300, "resumable": true,
    });
    let mut catalog = native_catalog(2, &[route]);
    let service = json!({"name": "scripted", "maxConnections": 50, "warmupS": 0, "coldPerS": 0});
    catalog["services"].as_array_mut().unwrap().push(service);
    site.fleet.rows.put("op", "config", &catalog);
    let entry: Value = json!({
        "service": "scripted", "zone": "za", "version": "v1", "slots": 6, "state": "ready",
        "warmupRemainingMs": 0, "sequence": 1, "born": 1,
    });
    let worker = ScriptedWorker::start(&site.fleet, "s0", entry, SCRIPTED_PATH, Some(script)).await;
    for node in 0..NODES {
        wait_until("the catalog is in force", async || {
            site.metric(node, "cuminlb_catalog_version").await == 2
        })
        .await
        .unwrap();
    }
    worker
}

/// Lets a caller of a node without links leave, and checks that the work for it ends.
async fn check_leaving_ends_work(kind: &str, script: &'static [Step]) {
    let site = serving_site().await;
    let worker = start_scripted(&site, kind, script).await;
    site.set_links(CUT, LinkMode::Hang).await;
    sleep(CONTACT).await;
    let mut caller = RawCaller::connect(&site.nodes[CUT]).await;
    let head = request_head("GET", SCRIPTED_PATH, "leaving", "\r\n");
    caller.write(head).await.unwrap();
    site.wait_helper(CUT, "leaving", HELPER_BOUND).await;
    sleep(CALLER_PATIENCE).await;
    assert!(!worker.requests().is_empty());
    drop(caller);
    let has_ended = timeout(LEAVE_BOUND, worker.wait_left_alone()).await;
    assert!(has_ended.is_ok(), "the instance is still at work");
    let was_cancelled = |request: &ReceivedRequest| request.was_cancelled;
    assert!(worker.requests().iter().all(was_cancelled));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_ends_the_work_that_another_node_asked_for() {
    check_leaving_ends_work("idempotent", ENDLESS_WORK).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_a_stream_ends_it_across_another_node() {
    check_leaving_ends_work("streaming", ENDLESS_STREAM).await;
}

/// The number of events of a stream that lasts long enough for a fault during it.
const LONG_STREAM_EVENTS: u64 = 160;

/// The time after which a node is killed that a stream passes through.
const STREAM_TIME: Duration = Duration::from_millis(800);

fn assert_whole_stream(response: &HttpResponse) {
    assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    let events: Vec<u64> = (1..=LONG_STREAM_EVENTS).collect();
    assert_eq!(event_ids(response), events);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_when_the_node_that_it_passes_through_is_killed() {
    let site = serving_site().await;
    site.set_links(CUT, LinkMode::Hang).await;
    sleep(CONTACT).await;
    let events = LONG_STREAM_EVENTS.to_string();
    let stream = site.stream(CUT, "long", &events);
    let kill = async {
        let helper = site.wait_helper(CUT, "long", HELPER_BOUND).await;
        sleep(STREAM_TIME).await;
        site.nodes[helper].process.signal(Signal::SIGKILL);
    };
    let (response, ()) = tokio::join!(stream, kill);
    assert_whole_stream(&response.unwrap());
    site.assert_no_violations();
}

/// A stream that began before the cut has an instance that goes on, but can't be heard.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_continues_when_the_links_of_its_node_hang() {
    let site = serving_site().await;
    let events = LONG_STREAM_EVENTS.to_string();
    let stream = site.stream(CUT, "long", &events);
    let cut = async {
        sleep(STREAM_TIME).await;
        site.set_links(CUT, LinkMode::Hang).await;
    };
    let (response, ()) = tokio::join!(stream, cut);
    assert_whole_stream(&response.unwrap());
    site.assert_no_violations();
}
