//! One node is cut off from the platform, or from everything.

use std::time::Duration;

use cuminlb_standins::{FaultProxy, LinkFault, Platform, PlatformOptions, StandinServer};
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::StatusCode;
use tokio::time::Instant;

use crate::support::chat_body;

/// The node that is cut off.
const NODE: usize = 2;

/// How long the node is cut off from the platform: longer than its knowledge stays fresh.
const CUT_OFF: Duration = Duration::from_secs(8);

/// The time within which an accepted configuration is in force or stopped for.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// The key of the second team of every site.
const SECOND_TEAM_KEY: &str = "key-of-lami-juniors";

/// A site of three nodes, one of which has every link of its own.
struct LinkedSite {
    site: Site,
    /// The node's link to the table.
    table: FaultProxy,
    /// The links between the node and its peers, in both directions.
    peers: Vec<FaultProxy>,
    /// The list that the node reads, in which its peers stand behind links.
    list: StandinServer,
}

impl LinkedSite {
    async fn start() -> Self {
        let any = "127.0.0.1:0".parse().unwrap();
        let mut site = SiteBuilder::default()
            .nodes(3)
            .model(ModelPlan::new("oar-assist", 2, 2))
            .start_serving()
            .await
            .unwrap();
        let table = FaultProxy::start(any, site.platform_address())
            .await
            .unwrap();
        let options = PlatformOptions::default();
        let list = Platform::start(any, options).await.unwrap();
        let mut seen_by_node = site.records();
        let mut peers = Vec::new();
        // The list names the nodes first, in their order.
        for (index, (node, seen)) in site.nodes.iter_mut().zip(&mut seen_by_node).enumerate() {
            let link = FaultProxy::start(any, node.peer_address).await.unwrap();
            if index == NODE {
                node.peer_address = link.address();
            } else {
                seen.address = link.address();
            }
            peers.push(link);
        }
        site.publish_instances_to(list.address(), &seen_by_node)
            .await
            .unwrap();
        site.publish_instances().await.unwrap();
        let (table_address, list_address) = (table.address(), list.address());
        site.restart_node_with_endpoints(NODE, table_address, list_address)
            .await
            .unwrap();
        site.wait_serving().await.unwrap();
        let linked = Self {
            site,
            table,
            peers,
            list,
        };
        // The owners say that groups serve; the node that was started again must have read that
        // before its links fail, or it has no group to go on with.
        wait_until("the node has seen a group", async || {
            linked.chat(SECOND_TEAM_KEY).await.status == StatusCode::OK
        })
        .await
        .unwrap();
        linked
    }

    fn set_fault_of_peers(&self, fault: LinkFault) {
        for link in &self.peers {
            link.set_fault(fault);
        }
    }

    async fn chat(&self, key: &str) -> HttpResponse {
        self.site.chat_as(key, NODE, chat_body()).await.unwrap()
    }

    async fn stop(self) {
        self.site.shut_down().await;
        self.table.stop().await;
        for link in self.peers {
            link.stop().await;
        }
        self.list.stop().await;
    }
}

/// Returns a fleet file without the second team, whose table stands before that of the services.
fn without_second_team(fleet: &str) -> String {
    let start = fleet.find("[[team]]\nid = \"lami-juniors\"").unwrap();
    let end = fleet[start + 2..]
        .find("[[")
        .map(|end| start + 2 + end)
        .unwrap();
    format!("{}{}", &fleet[..start], &fleet[end..])
}

#[tokio::test]
async fn a_node_without_the_platform_goes_on_through_its_peers() {
    let linked = LinkedSite::start().await;
    linked.table.set_fault(LinkFault::Cut);
    let end = Instant::now() + CUT_OFF;
    while Instant::now() < end {
        let answer = linked.chat(SECOND_TEAM_KEY).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    }
    let fleet = without_second_team(&linked.site.fleet_toml());
    let report = linked.site.apply_at(0, &fleet).await.unwrap();
    assert_eq!(report.in_force.len(), 3, "{report:?}");
    let answer = linked.chat(SECOND_TEAM_KEY).await;
    assert_eq!(answer.status, StatusCode::UNAUTHORIZED, "{}", answer.text());
    linked.stop().await;
}

async fn cut_off_alone(fault: LinkFault) {
    let linked = LinkedSite::start().await;
    assert_eq!(linked.chat(SECOND_TEAM_KEY).await.status, StatusCode::OK);
    linked.table.set_fault(fault);
    linked.set_fault_of_peers(fault);
    let started = Instant::now();
    let fleet = without_second_team(&linked.site.fleet_toml());
    let report = linked.site.apply_at(0, &fleet).await.unwrap();
    assert!(
        started.elapsed() < IN_FORCE_WITHIN,
        "{:?}",
        started.elapsed()
    );
    let node: NodeId = linked.site.nodes[NODE].id.parse().unwrap();
    assert_eq!(report.stopped, [node], "{report:?}");
    let refused = linked.chat(SECOND_TEAM_KEY).await;
    assert_eq!(refused.json()["error"]["code"], "config_unconfirmed");
    assert_eq!(refused.json()["error"]["run_state"], "not_run");
    assert!(!linked.site.status(NODE).await.unwrap().ready);

    linked.table.set_fault(LinkFault::None);
    linked.set_fault_of_peers(LinkFault::None);
    wait_until("the node has the new configuration", async || {
        let status = linked.chat(SECOND_TEAM_KEY).await.status;
        assert_ne!(
            status,
            StatusCode::OK,
            "served as of a replaced configuration"
        );
        status == StatusCode::UNAUTHORIZED
    })
    .await
    .unwrap();
    linked.stop().await;
}

#[tokio::test]
async fn a_node_cut_off_alone_stops_and_comes_back() {
    cut_off_alone(LinkFault::Cut).await;
}

#[tokio::test]
async fn a_node_whose_links_go_silent_stops_and_comes_back() {
    cut_off_alone(LinkFault::Silent).await;
}
