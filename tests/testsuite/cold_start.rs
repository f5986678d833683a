//! A group in a cold start gets no more than it bears, whatever happens to the owner.

use cuminlb_standins::EngineOptions;
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use futures_util::future::{join, join_all};
use http::{Method, StatusCode};
use nix::sys::signal::Signal;

const MODEL: &str = "oar-assist";

/// The number of requests that the cold engines bear.
const COLD_LIMIT: u32 = 3;

/// The number of tokens of a request that runs for longer than a change of the owner takes.
const LONG_TOKENS: u64 = 1_000;

/// Starts a site of three nodes and one group, whose engines stay cold for `cold_start_ms`.
async fn cold_site(cold_start_ms: Millis) -> Site {
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

/// Returns the node that owns the only group.
async fn owner(site: &Site) -> usize {
    for node in 0..site.nodes.len() {
        let status = site.status(node).await.unwrap();
        if status.services[0].groups[0].owned.is_some() {
            return node;
        }
    }
    panic!("no node owns the group");
}

/// Returns the upstream that leads the only group.
async fn leader(site: &Site, node: usize) -> usize {
    let status = site.status(node).await.unwrap();
    let leader = &status.services[0].groups[0].members[0];
    site.upstream_index(leader).unwrap()
}

/// Returns a number that the leader gives; none comes from an engine that has crashed.
async fn number(site: &Site, leader: usize, path: &str) -> u64 {
    let answer = site.call_upstream(leader, Method::GET, path).await;
    let json = answer.expect("the engine has crashed").json();
    json.as_u64()
        .or_else(|| json["running"].as_u64())
        .expect("a number")
}

async fn highest(site: &Site, leader: usize) -> u64 {
    number(site, leader, "/control/highest").await
}

async fn wait_running(site: &Site, leader: usize, wanted: u32) {
    wait_until("the engine runs requests", async || {
        number(site, leader, "/control/report").await == u64::from(wanted)
    })
    .await
    .unwrap();
}

/// Sends `count` requests at once through each of some nodes.
async fn storm(site: &Site, nodes: &[usize], count: usize, tokens: u64) -> Vec<HttpResponse> {
    let nodes = nodes
        .iter()
        .flat_map(|node| std::iter::repeat_n(*node, count));
    let calls = nodes.map(|node| site.chat(node, MODEL, true, tokens));
    let answers = join_all(calls).await;
    answers.into_iter().map(Result::unwrap).collect()
}

fn assert_whole(answers: &[HttpResponse]) {
    for answer in answers {
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        let text = answer.text();
        assert!(text.ends_with("data: [DONE]\n\n"), "{text}");
    }
}

#[tokio::test]
async fn a_storm_through_every_node_stays_within_the_cold_limit() {
    let site = cold_site(Millis(600_000)).await;
    let leader = leader(&site, 0).await;
    let answers = storm(&site, &[0, 1, 2], 20, 10).await;
    assert_whole(&answers);
    assert_eq!(highest(&site, leader).await, u64::from(COLD_LIMIT));
    site.shut_down().await;
}

#[tokio::test]
async fn the_limit_holds_when_the_owner_is_killed() {
    let site = cold_site(Millis(600_000)).await;
    let owner = owner(&site).await;
    let leader = leader(&site, owner).await;
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    let held = storm(&site, &others[..1], COLD_LIMIT as usize, LONG_TOKENS);
    let after = async {
        wait_running(&site, leader, COLD_LIMIT).await;
        site.nodes[owner].process.signal(Signal::SIGKILL);
        storm(&site, &others, 6, 10).await
    };
    let (held, after) = join(held, after).await;
    assert_whole(&held);
    assert_whole(&after);
    assert_eq!(highest(&site, leader).await, u64::from(COLD_LIMIT));
    site.shut_down().await;
}

#[tokio::test]
async fn the_limit_holds_when_the_owner_is_paused() {
    let site = cold_site(Millis(600_000)).await;
    let owner = owner(&site).await;
    let leader = leader(&site, owner).await;
    let others: Vec<usize> = (0..3).filter(|node| *node != owner).collect();
    // The owner itself holds all slots, so nobody can tell the next owner of them.
    let own = [owner];
    let held = storm(&site, &own, COLD_LIMIT as usize, LONG_TOKENS);
    let after = async {
        wait_running(&site, leader, COLD_LIMIT).await;
        site.nodes[owner].process.signal(Signal::SIGSTOP);
        let answers = storm(&site, &others, 6, 10).await;
        site.nodes[owner].process.signal(Signal::SIGCONT);
        answers
    };
    let (_, after) = join(held, after).await;
    assert_whole(&after);
    // The node that owned the group serves callers again, but grants nothing of its own. Until it
    // has read the table again it refuses, truthfully.
    site.wait_serving().await.unwrap();
    assert_whole(&storm(&site, &[0, 1, 2], 4, 10).await);
    assert_eq!(highest(&site, leader).await, u64::from(COLD_LIMIT));
    site.shut_down().await;
}

#[tokio::test]
async fn a_group_that_falls_cold_gets_nothing_until_it_is_below_the_limit() {
    let site = cold_site(Millis(10_000)).await;
    let owner = owner(&site).await;
    let leader = leader(&site, owner).await;
    let is_warm = async |wanted: bool| {
        let status = site.status(owner).await.unwrap();
        let owned = status.services[0].groups[0].owned.as_ref();
        owned.is_some_and(|owned| owned.warm == wanted)
    };
    wait_until("the group is warm", async || is_warm(true).await)
        .await
        .unwrap();
    let all = [0, 1, 2];
    let held = storm(&site, &all, 4, 150);
    let after = async {
        wait_running(&site, leader, 12).await;
        let path = "/control/fall-cold";
        site.call_upstream(leader, Method::PUT, path).await.unwrap();
        wait_until("the owner knows", async || is_warm(false).await)
            .await
            .unwrap();
        storm(&site, &[0, 1, 2], 10, 5).await
    };
    let (held, after) = join(held, after).await;
    assert_whole(&held);
    assert_whole(&after);
    assert_eq!(highest(&site, leader).await, 12);
    site.shut_down().await;
}
