//! Tests of nodes on the users' platform: what nodes conclude about instances and links where
//! only some of the links, or only some of the nodes, are lost.

use std::collections::BTreeSet;
use std::time::Duration;

use cuminlb_native_standins::{LinkMode, LinkScope};
use cuminlb_test_support::wait_until;
use http::StatusCode;
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::native_site::{ENGINE_SERVICE, NativeSite};
use crate::observed_call::{CallKind, ObservedCall, calls_of};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The time after a cut from which callers must be served.
const CONTACT: Duration = Duration::from_secs(3);

/// The number of nodes.
const NODES: usize = 3;

/// A time that is longer than a test lasts.
const LONG_DOWNTIME: Duration = Duration::from_secs(60);

/// The time within which a group that lost its head must serve again.
const REPAIR_BOUND: Duration = Duration::from_secs(2);

/// The number of requests with a pause in which a node may forget that it reaches instances.
const RARE_REQUESTS: u32 = 6;
const RARE_PAUSE: Duration = Duration::from_millis(600);

async fn serving_site(engines: usize, groups: usize) -> NativeSite {
    let site = NativeSite::start_with_links(NODES, engines, SHORT_WORK).await;
    site.wait_serving().await;
    site.wait_open_groups(groups).await;
    site
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_few_callers_goes_on_using_its_links_to_a_service_when_those_to_another_hang() {
    let site = serving_site(10, 3).await;
    let cut = (site.wait_leader().await + 1) % NODES;
    let engines = LinkScope::Service(ENGINE_SERVICE.to_owned());
    site.links(cut).set(engines, LinkMode::Hang).await;
    let streams = (0..24).map(|number| {
        let id = format!("stream-{number}");
        ObservedCall::send(&site, cut, CallKind::Stream, id)
    });
    futures_util::future::join_all(streams).await;
    sleep(CONTACT).await;
    for number in 0..RARE_REQUESTS {
        let id = format!("rare-{number}");
        let call = ObservedCall::send(&site, cut, CallKind::Lookup, id).await;
        assert!(call.is_served(), "{}", call.summary());
        assert_eq!(site.senders_of(&call.id), [cut], "{}", call.id);
        sleep(RARE_PAUSE).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_group_whose_head_crashed_is_formed_again_while_no_node_but_the_leader_has_links() {
    let site = serving_site(3, 1).await;
    let leader = site.wait_leader().await;
    for node in (0..NODES).filter(|node| *node != leader) {
        site.set_links(node, LinkMode::Hang).await;
    }
    sleep(CONTACT).await;
    let head = site.open_head().unwrap();
    site.fleet.engine(&head).unwrap().crash(LONG_DOWNTIME);
    let crashed_at = Instant::now();
    wait_until("a group serves again", async || {
        let response = site.stream(leader, "after", "3").await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
    let elapsed = crashed_at.elapsed();
    assert!(elapsed < REPAIR_BOUND, "{elapsed:?}");
}

/// How often a zone is out and back, and for how long each time.
const EVACUATIONS: u32 = 12;
const EVACUATION: Duration = Duration::from_millis(300);

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_is_used_again_after_a_forwarder_said_that_its_zone_was_out() {
    const CUT: usize = 0;
    let site = serving_site(2, 1).await;
    site.set_links(CUT, LinkMode::Hang).await;
    ObservedCall::send_all(&site, CUT, "warm", 10, RARE_PAUSE / 2).await;
    let evacuate = async {
        for _ in 0..EVACUATIONS {
            site.fleet.rows.put("op", "evacuate/za", &json!({}));
            sleep(EVACUATION).await;
            site.fleet.rows.remove("op", "evacuate/za");
            sleep(EVACUATION).await;
        }
    };
    let callers = (0..4).map(|caller| {
        let id = format!("beside-{caller}");
        let site = &site;
        async move { ObservedCall::send_all(site, CUT, &id, 300, Duration::from_millis(5)).await }
    });
    tokio::join!(evacuate, futures_util::future::join_all(callers));
    site.set_links(CUT, LinkMode::Open).await;
    sleep(CONTACT).await;
    let calls = ObservedCall::send_all(&site, CUT, "late", 20, RARE_PAUSE / 10).await;
    let lookups = calls_of(&calls, CallKind::Lookup);
    let runs = lookups
        .iter()
        .flat_map(|call| site.fleet.runs.workers_of(&call.id));
    let workers: BTreeSet<_> = runs.collect();
    assert_eq!(workers.len(), 2, "{workers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_without_links_counts_no_crash_while_the_other_nodes_do_not_respond() {
    const CUT: usize = 0;
    let site = serving_site(4, 2).await;
    for node in 1..NODES {
        site.nodes[node].process.signal(Signal::SIGSTOP);
    }
    site.set_links(CUT, LinkMode::Reset).await;
    ObservedCall::send_all(&site, CUT, "cut", 10, RARE_PAUSE / 2).await;
    let crashes = site.metric(CUT, "cuminlb_instance_crashes_total").await;
    for node in 1..NODES {
        site.nodes[node].process.signal(Signal::SIGCONT);
    }
    assert_eq!(crashes, 0);
}
