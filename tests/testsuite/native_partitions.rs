//! Tests of nodes on the users' platform: nodes that lose their links to the instances, while
//! callers, the store and the other nodes reach them.

use std::time::Duration;

use cuminlb_native_standins::{LinkMode, LinkScope};
use http::StatusCode;
use tokio::time::sleep;

use crate::native_site::{NativeSite, PLAIN_SERVICE};
use crate::observed_call::{CallKind, ObservedCall, assert_served, calls_of};
use crate::partitioned_site::{
    CUT, MIN_SERVED, NODES, REQUEST_PAUSE, REQUESTS, assert_nothing_counted, groups_of, send_early,
    send_late, serving_site,
};

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
