//! Tests of a node that is partitioned from the table, or from the table and all peers.

use std::time::Duration;

use cuminlb_standins::{FaultProxy, LinkFault, Platform, PlatformOptions, StandinServer};
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::StatusCode;
use tokio::time::Instant;

use crate::support::chat_body;

/// The index of the node that is partitioned.
const PARTITIONED_NODE: usize = 2;

/// How long the node is partitioned from the table: longer than its last read stays fresh.
const PARTITION_DURATION: Duration = Duration::from_secs(8);

/// The time within which every node applies an accepted configuration or stops serving.
const MAX_APPLY_TIME: Duration = Duration::from_secs(5);

/// The API key of the second team of every site.
const SECOND_TEAM_KEY: &str = "key-of-lami-juniors";

/// A site of three nodes, one of which reaches the table and its peers over lossy links.
struct LinkedSite {
    site: Site,
    /// The node's link to the table.
    table: FaultProxy,
    /// The links between the node and its peers, in both directions.
    peers: Vec<FaultProxy>,
    /// The instance list that the node reads; its peers have the addresses of the links in it.
    instance_list: StandinServer,
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
        let instance_list = Platform::start(any, options).await.unwrap();
        let mut records_for_node = site.records();
        let mut peers = Vec::new();
        // The list starts with the nodes, in their order.
        for (index, (node, record)) in site.nodes.iter_mut().zip(&mut records_for_node).enumerate()
        {
            let link = FaultProxy::start(any, node.peer_address).await.unwrap();
            if index == PARTITIONED_NODE {
                node.peer_address = link.address();
            } else {
                record.address = link.address();
            }
            peers.push(link);
        }
        site.publish_instances_to(instance_list.address(), &records_for_node)
            .await
            .unwrap();
        site.publish_instances().await.unwrap();
        let (table_address, list_address) = (table.address(), instance_list.address());
        site.restart_node_with_endpoints(PARTITIONED_NODE, table_address, list_address)
            .await
            .unwrap();
        site.wait_serving().await.unwrap();
        let linked = Self {
            site,
            table,
            peers,
            instance_list,
        };
        // Owners report which groups serve. The restarted node must have received these reports
        // before its links fail, or it has no group to send requests to.
        wait_until("the node knows a serving group", async || {
            linked.chat(SECOND_TEAM_KEY).await.status == StatusCode::OK
        })
        .await
        .unwrap();
        linked
    }

    fn set_peer_fault(&self, fault: LinkFault) {
        for link in &self.peers {
            link.set_fault(fault);
        }
    }

    async fn chat(&self, key: &str) -> HttpResponse {
        self.site
            .chat_as(key, PARTITIONED_NODE, chat_body())
            .await
            .unwrap()
    }

    async fn stop(self) {
        self.site.shut_down().await;
        self.table.stop().await;
        for link in self.peers {
            link.stop().await;
        }
        self.instance_list.stop().await;
    }
}

/// Returns a fleet file without the second team, whose section precedes those of the services.
fn without_second_team(fleet: &str) -> String {
    let start = fleet.find("[[team]]\nid = \"lami-juniors\"").unwrap();
    let end = fleet[start + 2..]
        .find("[[")
        .map(|end| start + 2 + end)
        .unwrap();
    format!("{}{}", &fleet[..start], &fleet[end..])
}

#[tokio::test]
async fn a_node_partitioned_from_the_table_serves_through_its_peers() {
    let linked = LinkedSite::start().await;
    linked.table.set_fault(LinkFault::Cut);
    let end = Instant::now() + PARTITION_DURATION;
    while Instant::now() < end {
        let response = linked.chat(SECOND_TEAM_KEY).await;
        assert_eq!(response.status, StatusCode::OK, "{}", response.text());
    }
    let fleet = without_second_team(&linked.site.fleet_toml());
    let report = linked.site.apply_at(0, &fleet).await.unwrap();
    assert_eq!(report.in_force.len(), 3, "{report:?}");
    let response = linked.chat(SECOND_TEAM_KEY).await;
    assert_eq!(
        response.status,
        StatusCode::UNAUTHORIZED,
        "{}",
        response.text()
    );
    linked.stop().await;
}

async fn check_isolated_node(fault: LinkFault) {
    let linked = LinkedSite::start().await;
    assert_eq!(linked.chat(SECOND_TEAM_KEY).await.status, StatusCode::OK);
    linked.table.set_fault(fault);
    linked.set_peer_fault(fault);
    let started = Instant::now();
    let fleet = without_second_team(&linked.site.fleet_toml());
    let report = linked.site.apply_at(0, &fleet).await.unwrap();
    assert!(
        started.elapsed() < MAX_APPLY_TIME,
        "{:?}",
        started.elapsed()
    );
    let node: NodeId = linked.site.nodes[PARTITIONED_NODE].id.parse().unwrap();
    assert_eq!(report.stopped, [node], "{report:?}");
    let refused = linked.chat(SECOND_TEAM_KEY).await;
    assert_eq!(refused.json()["error"]["code"], "config_unconfirmed");
    assert_eq!(refused.json()["error"]["run_state"], "not_run");
    assert!(!linked.site.status(PARTITIONED_NODE).await.unwrap().ready);

    linked.table.set_fault(LinkFault::None);
    linked.set_peer_fault(LinkFault::None);
    wait_until("the node has the new configuration", async || {
        let status = linked.chat(SECOND_TEAM_KEY).await.status;
        assert_ne!(status, StatusCode::OK, "served by a replaced configuration");
        status == StatusCode::UNAUTHORIZED
    })
    .await
    .unwrap();
    linked.stop().await;
}

#[tokio::test]
async fn a_node_with_broken_links_stops_and_recovers() {
    check_isolated_node(LinkFault::Cut).await;
}

#[tokio::test]
async fn a_node_with_silent_links_stops_and_recovers() {
    check_isolated_node(LinkFault::Silent).await;
}
