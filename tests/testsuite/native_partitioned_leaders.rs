//! Tests of nodes on the users' platform: leaders that lose links to the instances.

use std::time::Duration;

use cuminlb_native_standins::{LinkMode, LinkScope};
use tokio::time::{sleep, timeout};

use crate::native_site::NativeSite;
use crate::observed_call::{ObservedCall, assert_served};
use crate::partitioned_site::{
    EngineView, MIN_SERVED, NODES, SHORT_WORK, assert_nothing_counted, groups_of, send_early,
    send_late, serving_site, serving_site_with,
};

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
