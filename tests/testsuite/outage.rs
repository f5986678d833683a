//! Tests of outages of the platform, with and without reachable peers.

use std::time::Duration;

use cuminlb_standins::Fault;
use cuminlb_test_support::{ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::StatusCode;
use tokio::time::Instant;

/// How long the platform is down: several times the age at which a read of the table is stale.
const OUTAGE_DURATION: Duration = Duration::from_secs(12);

async fn start_site(nodes: u32) -> Site {
    SiteBuilder::default()
        .nodes(nodes)
        .model(ModelPlan::new("oar-assist", 2, 2))
        .start_serving()
        .await
        .unwrap()
}

/// Sends requests through every node for [`OUTAGE_DURATION`], and checks that all succeed.
async fn serve_through_outage(site: &Site) {
    let end = Instant::now() + OUTAGE_DURATION;
    let mut answered = 0;
    while Instant::now() < end {
        for node in 0..site.nodes.len() {
            let response = site.chat(node, "oar-assist", false, 2).await.unwrap();
            let text = response.text();
            assert_eq!(
                response.status,
                StatusCode::OK,
                "after {answered} successful requests: {text}"
            );
            answered += 1;
        }
    }
    assert!(answered > 0);
}

/// Applies the fleet file again, which needs the table and a majority of the nodes, and checks that
/// all nodes confirm it.
async fn apply_again(site: &Site) -> ConfigVersion {
    let report = site.apply(&site.fleet_toml()).await.unwrap();
    assert!(report.not_confirmed.is_empty(), "{report:?}");
    report.version
}

async fn assert_served_through(fault: Fault) {
    let site = start_site(3).await;
    let before = apply_again(&site).await;
    site.set_platform_fault(fault).await.unwrap();
    serve_through_outage(&site).await;
    site.set_platform_fault(Fault::None).await.unwrap();
    site.wait_serving().await.unwrap();
    assert_eq!(apply_again(&site).await, before.next());
    site.shut_down().await;
}

#[tokio::test]
async fn requests_are_served_while_the_platform_refuses_calls() {
    assert_served_through(Fault::Refusing).await;
}

#[tokio::test]
async fn requests_are_served_while_the_platform_hangs() {
    assert_served_through(Fault::Paused).await;
}

#[tokio::test]
async fn a_node_without_platform_and_peers_is_unready_and_refuses() {
    let mut site = start_site(3).await;
    site.set_platform_fault(Fault::Refusing).await.unwrap();
    for node in [0, 1] {
        site.nodes[node].process.kill().await;
    }
    wait_until("the last node is unready", async || {
        !site.status(2).await.unwrap().ready
    })
    .await
    .unwrap();
    let refused = site.chat(2, "oar-assist", false, 2).await.unwrap();
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.json()["error"]["code"], "config_unconfirmed");
    assert_eq!(refused.json()["error"]["run_state"], "not_run");
    site.shut_down().await;
}
