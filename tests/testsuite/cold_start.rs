//! Tests that a group in a cold start gets no more requests than its limit, even if its owner
//! fails.

use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use futures_util::future::{join, join_all};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;

const MODEL: &str = "oar-assist";

/// The number of concurrent requests that a cold engine accepts without a crash.
const COLD_LIMIT: u32 = 3;

/// The number of tokens of a request that lasts longer than a change of the owner.
const LONG_TOKEN_COUNT: u64 = 1_000;

/// Starts a site of three nodes and one group whose engines stay cold for `cold_start_ms`.
async fn start_cold_site(cold_start_ms: Millis) -> Site {
    let engine = EngineOptions {
        token_gap_ms: Millis(10),
        cold_start_ms,
        cold_limit: SlotCount(COLD_LIMIT),
        warm_limit: SlotCount(16),
        ..EngineOptions::default()
    };
    SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new(MODEL, 1, 2).engine(engine))
        .settings("[limits]\nmax_queue_wait = \"40s\"\n")
        .start_serving()
        .await
        .unwrap()
}

/// Returns the index of the node that owns the only group.
async fn owner(site: &Site) -> usize {
    for node in 0..site.nodes.len() {
        let status = site.status(node).await.unwrap();
        if status.services[0].groups[0].owned.is_some() {
            return node;
        }
    }
    panic!("no node owns the group");
}

/// Returns the index of the upstream that leads the only group.
async fn leader(site: &Site, node: usize) -> usize {
    let status = site.status(node).await.unwrap();
    let leader = &status.services[0].groups[0].members[0];
    site.upstream_index(leader).unwrap()
}

/// Returns a number from the leader's control interface, and panics if the engine has crashed.
async fn control_number(site: &Site, leader: usize, path: &str) -> u64 {
    let response = site.call_upstream(leader, Method::GET, path).await;
    let json = response.expect("the engine has crashed").json();
    json.as_u64()
        .or_else(|| json["running"].as_u64())
        .expect("the engine sent no number")
}

async fn peak_running(site: &Site, leader: usize) -> u64 {
    control_number(site, leader, "/control/highest").await
}

async fn wait_running(site: &Site, leader: usize, expected: u32) {
    wait_until("the engine runs the requests", async || {
        control_number(site, leader, "/control/report").await == u64::from(expected)
    })
    .await
    .unwrap();
}

/// Sends `count` concurrent requests through each of `nodes`.
async fn send_burst(site: &Site, nodes: &[usize], count: usize, tokens: u64) -> Vec<HttpResponse> {
    let nodes = nodes
        .iter()
        .flat_map(|node| std::iter::repeat_n(*node, count));
    let calls = nodes.map(|node| site.chat(node, MODEL, true, tokens));
    let responses = join_all(calls).await;
    responses.into_iter().map(Result::unwrap).collect()
}

fn assert_complete(responses: &[HttpResponse]) {
    for response in responses {
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
        let text = response.text();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}

#[tokio::test]
async fn a_burst_through_every_node_stays_within_the_cold_limit() {
    let site = start_cold_site(Millis(600_000)).await;
    let leader = leader(&site, 0).await;
    let responses = send_burst(&site, &[0, 1, 2], 20, 10).await;
    assert_complete(&responses);
    assert_eq!(peak_running(&site, leader).await, u64::from(COLD_LIMIT));
    site.shut_down().await;
}

#[tokio::test]
async fn the_limit_holds_when_the_owner_is_killed() {
    let site = start_cold_site(Millis(600_000)).await;
    let owner = owner(&site).await;
    let leader = leader(&site, owner).await;
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    let held = send_burst(&site, &others[..1], COLD_LIMIT as usize, LONG_TOKEN_COUNT);
    let after = async {
        wait_running(&site, leader, COLD_LIMIT).await;
        site.nodes[owner].process.signal(Signal::SIGKILL);
        send_burst(&site, &others, 6, 10).await
    };
    let (held, after) = join(held, after).await;
    assert_complete(&held);
    assert_complete(&after);
    assert_eq!(peak_running(&site, leader).await, u64::from(COLD_LIMIT));
    site.shut_down().await;
}

#[tokio::test]
async fn the_limit_holds_when_the_owner_is_paused() {
    let site = start_cold_site(Millis(600_000)).await;
    let owner = owner(&site).await;
    let leader = leader(&site, owner).await;
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    // The owner itself holds all slots, so no other node can report them to the next owner.
    let owner_only = [owner];
    let held = send_burst(&site, &owner_only, COLD_LIMIT as usize, LONG_TOKEN_COUNT);
    let after = async {
        wait_running(&site, leader, COLD_LIMIT).await;
        site.nodes[owner].process.signal(Signal::SIGSTOP);
        let responses = send_burst(&site, &others, 6, 10).await;
        site.nodes[owner].process.signal(Signal::SIGCONT);
        responses
    };
    let (_, after) = join(held, after).await;
    assert_complete(&after);
    // The former owner serves callers again, but grants no slots itself. Until it has read the
    // table again, it correctly refuses requests.
    site.wait_serving().await.unwrap();
    assert_complete(&send_burst(&site, &[0, 1, 2], 4, 10).await);
    assert_eq!(peak_running(&site, leader).await, u64::from(COLD_LIMIT));
    site.shut_down().await;
}

#[tokio::test]
async fn a_group_that_turns_cold_gets_no_request_until_it_is_below_the_limit() {
    let site = start_cold_site(Millis(10_000)).await;
    let owner = owner(&site).await;
    let leader = leader(&site, owner).await;
    let is_warm = async |expected: bool| {
        let status = site.status(owner).await.unwrap();
        let owned = status.services[0].groups[0].owned.as_ref();
        owned.is_some_and(|owned| owned.warm == expected)
    };
    wait_until("the group is warm", async || is_warm(true).await)
        .await
        .unwrap();
    let all = [0, 1, 2];
    let held = send_burst(&site, &all, 4, 150);
    let after = async {
        wait_running(&site, leader, 12).await;
        let path = "/control/fall-cold";
        site.call_upstream(leader, Method::PUT, path).await.unwrap();
        wait_until("the owner sees the cold group", async || {
            is_warm(false).await
        })
        .await
        .unwrap();
        send_burst(&site, &[0, 1, 2], 10, 5).await
    };
    let (held, after) = join(held, after).await;
    assert_complete(&held);
    assert_complete(&after);
    assert_eq!(peak_running(&site, leader).await, 12);
    site.shut_down().await;
}
