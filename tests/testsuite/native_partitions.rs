//! Tests of nodes on the users' platform: nodes that lose their links to the instances, while
//! callers, the store and the other nodes reach them.

use std::time::Duration;

use cuminlb_native_standins::{LinkMode, LinkScope};
use cuminlb_test_support::{HttpResponse, wait_until};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::{sleep, timeout};

use crate::native_catalog::native_catalog;
use crate::native_site::{HOST, NativeSite, PLAIN_SERVICE, RESERVE_PATH, event_ids};
use crate::observed_call::{CallKind, ObservedCall, assert_served, calls_of};
use crate::raw_caller::{RawCaller, request_head};
use crate::scripted_worker::Step::{self, Send, Wait};
use crate::scripted_worker::{ReceivedRequest, ScriptedWorker};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The time after a cut from which callers must be served.
const CONTACT: Duration = Duration::from_secs(3);

/// The numbers of nodes and engines; two engines form a group.
const NODES: usize = 3;
const ENGINES: usize = 4;

/// The node whose links are cut where it doesn't matter which one leads.
const CUT: usize = 0;

/// The number of requests of each kind that are checked, and how many of them must be served.
const REQUESTS: u32 = 20;
const MIN_SERVED: usize = 18;
const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// The requests of each kind that are sent until callers must be served, whatever becomes of them.
const EARLY_REQUESTS: u32 = 15;
const EARLY_PAUSE: Duration = Duration::from_millis(200);

async fn serving_site() -> NativeSite {
    serving_site_with(ENGINES, SHORT_WORK).await
}

async fn serving_site_with(engines: usize, work: Duration) -> NativeSite {
    let site = NativeSite::start_with_links(NODES, engines, work).await;
    site.wait_serving().await;
    site.wait_open_groups(engines / 2).await;
    site
}

async fn send_early(site: &NativeSite, node: usize) -> Vec<ObservedCall> {
    ObservedCall::send_all(site, node, "early", EARLY_REQUESTS, EARLY_PAUSE).await
}

async fn send_late(site: &NativeSite, node: usize) -> Vec<ObservedCall> {
    sleep(CONTACT).await;
    ObservedCall::send_all(site, node, "late", REQUESTS, REQUEST_PAUSE).await
}

/// Cuts the links of a node and checks that its callers are served, while others try from the start.
async fn check_cut_node_serves(mode: LinkMode) {
    let site = serving_site().await;
    let before = ObservedCall::send_all(&site, CUT, "before", REQUESTS, REQUEST_PAUSE).await;
    assert_served(&before, MIN_SERVED);
    site.set_links(CUT, mode).await;
    let (early, late) = tokio::join!(send_early(&site, CUT), send_late(&site, CUT));
    assert_served(&late, MIN_SERVED);
    for call in early.iter().chain(&late) {
        call.assert_executed_as_told(&site);
    }
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_links_hang_are_served() {
    check_cut_node_serves(LinkMode::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_links_accept_and_say_nothing_are_served() {
    check_cut_node_serves(LinkMode::HangAccepting).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_links_are_reset_are_served() {
    check_cut_node_serves(LinkMode::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_node_whose_new_connections_are_refused_are_served() {
    check_cut_node_serves(LinkMode::RefuseNew).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_callers_of_a_node_whose_links_hang_are_served() {
    let site = serving_site().await;
    site.set_links(CUT, LinkMode::Hang).await;
    let late = send_late(&site, CUT).await;
    assert_served(&late, MIN_SERVED);
    for call in &late {
        call.assert_executed_as_told(&site);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_of_two_nodes_of_three_without_links_are_served() {
    let site = serving_site().await;
    site.set_links(0, LinkMode::Hang).await;
    site.set_links(1, LinkMode::Reset).await;
    let early = async { tokio::join!(send_early(&site, 0), send_early(&site, 1)) };
    let late = async { tokio::join!(send_late(&site, 0), send_late(&site, 1)) };
    let (early, late) = tokio::join!(early, late);
    assert_served(&late.0, MIN_SERVED);
    assert_served(&late.1, MIN_SERVED);
    for call in [early.0, early.1, late.0, late.1].iter().flatten() {
        call.assert_executed_as_told(&site);
    }
    site.assert_no_violations();
}

/// How long groups are observed after the links of the leader were cut.
const OBSERVED: Duration = Duration::from_secs(6);

/// The same after the links are back, and orders that were meant for a cut instance arrive.
const RETURN_OBSERVED: Duration = Duration::from_secs(3);

/// The time within which a node with links leads.
const LEADER_BOUND: Duration = Duration::from_secs(5);

/// The requests of each kind that callers send to each node while the leader is observed.
const OBSERVED_REQUESTS: u32 = 60;
const OBSERVED_PAUSE: Duration = Duration::from_millis(100);

/// Whether callers send requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Callers {
    Some,
    None,
}

/// Cuts the links of the leader, and checks that this counts against no instance and, unless open
/// connections live on, that another node leads.
async fn check_cut_leader_does_no_harm(mode: LinkMode, callers: Callers) {
    let site = serving_site().await;
    let leader = site.wait_leader().await;
    let before = groups_of(&site);
    site.set_links(leader, mode).await;
    let observe = async {
        let replaced = timeout(LEADER_BOUND, wait_other_leader(&site, leader)).await;
        sleep(OBSERVED - LEADER_BOUND).await;
        replaced.is_ok()
    };
    let (is_replaced, calls) = tokio::join!(observe, send_to_all(&site, callers));
    site.set_links(leader, LinkMode::Open).await;
    sleep(RETURN_OBSERVED).await;
    assert_no_harm(&site, leader, &before, &calls).await;
    assert!(
        is_replaced || mode == LinkMode::RefuseNew,
        "the node without links still leads"
    );
}

/// Checks that groups are as before, that no node counts anything against an instance, and that the
/// calls at all nodes but one were served.
async fn assert_no_harm(
    site: &NativeSite,
    cut: usize,
    before: &[EngineView],
    calls: &[Vec<ObservedCall>],
) {
    assert_eq!(groups_of(site), before);
    for node in 0..NODES {
        assert_nothing_counted(site, node).await;
    }
    for (node, calls) in calls.iter().enumerate() {
        if node != cut && !calls.is_empty() {
            assert_served(calls, OBSERVED_REQUESTS as usize);
        }
    }
    site.assert_no_violations();
}

/// The seat of an engine, and the orders that it has got.
type EngineView = (Option<(String, u64, &'static str)>, Vec<String>);

/// Returns the seats of all engines and the orders that they got.
fn groups_of(site: &NativeSite) -> Vec<EngineView> {
    let engines = site.engines();
    let groups = engines.map(|engine| (engine.seat(), engine.operations()));
    groups.collect()
}

async fn wait_other_leader(site: &NativeSite, leader: usize) {
    while site.wait_leader().await == leader {
        sleep(Duration::from_millis(25)).await;
    }
}

/// Sends requests to all nodes while the leader is observed, if there are callers.
async fn send_to_all(site: &NativeSite, callers: Callers) -> Vec<Vec<ObservedCall>> {
    if callers == Callers::None {
        return Vec::new();
    }
    let nodes = (0..NODES).map(|node| {
        ObservedCall::send_all(site, node, "beside", OBSERVED_REQUESTS, OBSERVED_PAUSE)
    });
    futures_util::future::join_all(nodes).await
}

/// Checks that a node counts no crash, and refuses no request as one that crashes instances.
async fn assert_nothing_counted(site: &NativeSite, node: usize) {
    for metric in [
        "cuminlb_instance_crashes_total",
        "cuminlb_quarantine_refusals_total",
        "cuminlb_quarantined_causes",
    ] {
        assert_eq!(site.metric(node, metric).await, 0, "{metric} of {node}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_links_hang_dissolves_no_group_and_is_replaced() {
    check_cut_leader_does_no_harm(LinkMode::Hang, Callers::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_with_callers_whose_links_hang_dissolves_no_group_and_is_replaced() {
    check_cut_leader_does_no_harm(LinkMode::Hang, Callers::Some).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_links_are_reset_dissolves_no_group_and_is_replaced() {
    check_cut_leader_does_no_harm(LinkMode::Reset, Callers::None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_with_callers_whose_links_are_reset_dissolves_no_group_and_is_replaced() {
    check_cut_leader_does_no_harm(LinkMode::Reset, Callers::Some).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_with_callers_whose_new_connections_are_refused_dissolves_no_group() {
    check_cut_leader_does_no_harm(LinkMode::RefuseNew, Callers::Some).await;
}

/// How long the links of a leader hang and are open in turn, and how often.
const LINK_PHASE: Duration = Duration::from_millis(900);
const LINK_PHASES: usize = 3;

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_whose_links_come_and_go_dissolves_no_group() {
    let site = serving_site().await;
    let leader = site.wait_leader().await;
    let before = groups_of(&site);
    let flap = async {
        for _ in 0..LINK_PHASES {
            for mode in [LinkMode::Hang, LinkMode::Open] {
                site.set_links(leader, mode).await;
                sleep(LINK_PHASE).await;
            }
        }
    };
    let ((), calls) = tokio::join!(flap, send_to_all(&site, Callers::Some));
    sleep(RETURN_OBSERVED).await;
    assert_no_harm(&site, leader, &before, &calls).await;
}

/// The time within which a request that can't be served is refused.
const REFUSAL_BOUND: Duration = Duration::from_secs(1);

/// How long requests are looked for at the instances after their links are back.
const LATE_RUN_WAIT: Duration = Duration::from_secs(2);

/// Cuts the links of all nodes, and checks that requests are refused at once and never run.
async fn check_all_cut_nodes_refuse(mode: LinkMode) {
    let site = serving_site().await;
    for node in 0..NODES {
        site.set_links(node, mode).await;
    }
    let early = async {
        let nodes = (0..NODES).map(|node| send_early(&site, node));
        futures_util::future::join_all(nodes).await
    };
    let late = async {
        let nodes = (0..NODES).map(|node| send_late(&site, node));
        futures_util::future::join_all(nodes).await
    };
    let (early, late) = tokio::join!(early, late);
    for call in late.iter().flatten() {
        let is_refused = call.status() == Some(StatusCode::SERVICE_UNAVAILABLE);
        assert!(is_refused, "{}", call.summary());
        assert!(call.elapsed < REFUSAL_BOUND, "{}", call.summary());
        let response = call.response.as_ref().unwrap();
        assert!(response.headers.contains_key("retry-after"));
    }
    for node in 0..NODES {
        site.set_links(node, LinkMode::Open).await;
    }
    sleep(LATE_RUN_WAIT).await;
    for call in early.iter().chain(&late).flatten() {
        call.assert_executed_as_told(&site);
    }
    for call in late.iter().flatten() {
        assert!(site.fleet.runs.workers_of(&call.id).is_empty());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_no_node_can_send_over_hanging_links_are_refused_at_once_and_never_run() {
    check_all_cut_nodes_refuse(LinkMode::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_no_node_can_send_over_reset_links_are_refused_at_once_and_never_run() {
    check_all_cut_nodes_refuse(LinkMode::Reset).await;
}

/// The time within which a node sends requests itself again after its links are back.
const RETURN_BOUND: Duration = Duration::from_secs(3);

/// The number of connections that a node may open to an instance for a few callers.
const MAX_NEW_CONNECTIONS: usize = 10;

/// Returns the ids of the instances of a site.
fn instances(site: &NativeSite) -> Vec<String> {
    let engines = site.engines().map(|engine| engine.id().to_owned());
    let workers = ["p0", "p1"].map(str::to_owned);
    engines.chain(workers).collect()
}

/// Cuts and returns the links of a node, and checks that it and the others then work as before.
async fn check_return(mode: LinkMode) {
    let site = serving_site().await;
    site.set_links(CUT, mode).await;
    let (_, during) = tokio::join!(send_early(&site, CUT), send_late(&site, CUT));
    assert_served(&during, MIN_SERVED);
    let instances = instances(&site);
    let mut before = Vec::new();
    for node in 0..NODES {
        before.push(site.opened_connections(node, &instances).await);
    }
    site.set_links(CUT, LinkMode::Open).await;
    let returning =
        ObservedCall::send_all(&site, CUT, "returning", REQUESTS, RETURN_BOUND / REQUESTS).await;
    assert_served(&returning, MIN_SERVED);
    let after = ObservedCall::send_all(&site, CUT, "after", REQUESTS, REQUEST_PAUSE).await;
    assert_served(&after, REQUESTS as usize);
    for call in &after {
        assert_eq!(site.senders_of(&call.id), [CUT], "{}", call.id);
    }
    for (node, before) in before.iter().enumerate() {
        let now = site.opened_connections(node, &instances).await;
        let opened = now.iter().zip(before).map(|(now, before)| now - before);
        let opened: Vec<usize> = opened.collect();
        let is_calm = opened.iter().all(|opened| *opened <= MAX_NEW_CONNECTIONS);
        assert!(is_calm, "node {node} opened {opened:?} to {instances:?}");
    }
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_directly_again_without_a_storm_of_connections_after_links_hung() {
    check_return(LinkMode::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_go_directly_again_without_a_storm_of_connections_after_links_were_reset() {
    check_return(LinkMode::Reset).await;
}

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

/// Checks that the calls of a kind were sent by the node itself, or all by others.
fn assert_senders(site: &NativeSite, calls: &[ObservedCall], kind: CallKind, is_direct: bool) {
    for call in calls_of(calls, kind).iter().filter(|call| call.is_served()) {
        let senders = site.senders_of(&call.id);
        let is_sent_so = senders.contains(&CUT) == is_direct;
        assert!(is_sent_so, "{} was sent by {senders:?}", call.id);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_requests_to_a_service_that_cannot_be_reached_go_over_another_node() {
    let site = serving_site().await;
    let before = groups_of(&site);
    let plain = LinkScope::Service(PLAIN_SERVICE.to_owned());
    site.links(CUT).set(plain, LinkMode::Hang).await;
    let (early, late) = tokio::join!(send_early(&site, CUT), send_late(&site, CUT));
    assert_served(&late, MIN_SERVED);
    assert_senders(&site, &late, CallKind::Stream, true);
    assert_senders(&site, &late, CallKind::Lookup, false);
    assert_senders(&site, &late, CallKind::Reserve, false);
    for call in early.iter().chain(&late) {
        call.assert_executed_as_told(&site);
    }
    assert_eq!(groups_of(&site), before);
}

/// Cuts the links of the leader to the head of the only group.
async fn check_unreachable_head_stays(mode: LinkMode) {
    let site = serving_site_with(2, SHORT_WORK).await;
    let leader = site.wait_leader().await;
    let before = groups_of(&site);
    let head = LinkScope::Instance(site.open_head().unwrap());
    site.links(leader).set(head, mode).await;
    let (_, late) = tokio::join!(send_early(&site, leader), send_late(&site, leader));
    site.set_links(leader, LinkMode::Open).await;
    sleep(RETURN_OBSERVED).await;
    assert_no_harm(&site, leader, &before, &[]).await;
    assert_served(&late, MIN_SERVED);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_whose_link_to_the_leader_alone_hangs_keeps_its_group() {
    check_unreachable_head_stays(LinkMode::Hang).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_whose_link_to_the_leader_alone_is_reset_keeps_its_group() {
    check_unreachable_head_stays(LinkMode::Reset).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_one_node_cannot_reach_serves_the_callers_of_the_others() {
    let site = serving_site().await;
    let worker = LinkScope::Instance("p0".to_owned());
    site.links(CUT).set(worker, LinkMode::Reset).await;
    let (_, late) = tokio::join!(send_early(&site, CUT), send_late(&site, CUT));
    assert_served(&late, MIN_SERVED);
    let others = ObservedCall::send_all(&site, 1, "other", REQUESTS, REQUEST_PAUSE).await;
    assert_served(&others, REQUESTS as usize);
    let lookups = calls_of(&others, CallKind::Lookup);
    let runs = lookups
        .iter()
        .flat_map(|call| site.fleet.runs.workers_of(&call.id));
    assert!(runs.into_iter().any(|worker| worker == "p0"));
    for node in 0..NODES {
        assert_nothing_counted(&site, node).await;
    }
}
