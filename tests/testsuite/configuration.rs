//! Tests that a configuration is applied atomically, is active on all nodes within seconds, and
//! never reverts.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb::control::apply_config_text;
use cuminlb::node::Node;
use cuminlb_caller::{ApplyError, ApplyReport, ApplyRequest, FleetDocument};
use cuminlb_config::NodeSettings;
use cuminlb_standins::Fault;
use cuminlb_test_support::{HttpResponse, ModelPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;
use tokio::time::Instant;

use crate::support::chat_body;

/// The time within which an accepted configuration is active on all nodes.
const MAX_APPLY_TIME: Duration = Duration::from_secs(5);

/// The API key of the second team of every site.
const SECOND_TEAM_KEY: &str = "key-of-lami-juniors";

async fn start_site() -> Site {
    SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 2, 2))
        .start_serving()
        .await
        .unwrap()
}

async fn read_fleet(site: &Site, node: usize) -> Option<FleetDocument> {
    let response = site
        .operator_call(node, Method::GET, "/fleet", json!(null))
        .await
        .ok()?;
    serde_json::from_slice(&response.body).ok()
}

/// Applies a fleet file that was edited from the version `base`.
async fn apply(
    site: &Site,
    node: usize,
    base: ConfigVersion,
    body: &str,
) -> Result<ApplyReport, ApplyError> {
    let request = ApplyRequest {
        base: Some(base),
        body: body.to_owned(),
    };
    let response = site
        .operator_call(node, Method::POST, "/apply", json!(request))
        .await
        .unwrap();
    if response.status.is_success() {
        Ok(serde_json::from_slice(&response.body).unwrap())
    } else {
        Err(serde_json::from_slice(&response.body).unwrap())
    }
}

/// Waits until all nodes are ready with the same active version, and returns its document.
async fn wait_converged(site: &Site) -> FleetDocument {
    let mut converged = None;
    wait_until("all nodes have the same configuration", async || {
        let mut documents = Vec::new();
        for node in 0..site.nodes.len() {
            let ready = site.status(node).await.is_ok_and(|status| status.ready);
            documents.push(read_fleet(site, node).await.filter(|_| ready));
        }
        let first = documents[0].clone();
        let agree = first.is_some() && documents.iter().all(|document| *document == first);
        converged = first;
        agree
    })
    .await
    .unwrap();
    converged.unwrap()
}

async fn chat_as(site: &Site, node: usize, key: &str) -> HttpResponse {
    site.chat_as(key, node, chat_body()).await.unwrap()
}

/// Returns a fleet file without the second team.
fn without_second_team(fleet: &str) -> String {
    let kept = fleet
        .split("\n\n")
        .filter(|table| !table.contains("id = \"lami-juniors\""));
    let fleet = kept.collect::<Vec<_>>().join("\n\n");
    let start = fleet.find("[[team]]\nid = \"lami-juniors\"");
    let Some(start) = start else { return fleet };
    let end = fleet[start + 1..]
        .find("[[")
        .map_or(fleet.len(), |end| start + 1 + end);
    format!("{}{}", &fleet[..start], &fleet[end..])
}

#[tokio::test]
async fn exactly_one_of_two_concurrent_applies_succeeds() {
    let site = start_site().await;
    for round in 0..8 {
        let base = wait_converged(&site).await.version;
        let bodies = [0, 1].map(|operator| {
            format!(
                "{}\n# round {round} of operator {operator}\n",
                site.fleet_toml()
            )
        });
        let (first, second) = tokio::join!(
            apply(&site, 0, base, &bodies[0]),
            apply(&site, 1, base, &bodies[1]),
        );
        let winner = match (&first, &second) {
            (Ok(report), Err(ApplyError::Conflict { in_force })) => {
                assert_eq!((report.version, *in_force), (base.next(), base.next()));
                0
            }
            (Err(ApplyError::Conflict { in_force }), Ok(report)) => {
                assert_eq!((report.version, *in_force), (base.next(), base.next()));
                1
            }
            other => panic!("round {round}: {other:?}"),
        };
        let document = wait_converged(&site).await;
        assert_eq!(document.version, base.next());
        assert_eq!(document.body, bodies[winner]);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_large_fleet_file_is_in_force_everywhere_in_time() {
    let site = start_site().await;
    let base = wait_converged(&site).await.version;
    let line = "# The boats of the dawn squad lie at the north pontoon.\n";
    let body = format!("{}{}", site.fleet_toml(), line.repeat(2_000));
    assert!(body.len() > 100_000);
    let started = Instant::now();
    let report = apply(&site, 2, base, &body).await.unwrap();
    assert_eq!(report.in_force.len(), 3, "{report:?}");
    assert!(started.elapsed() < MAX_APPLY_TIME);
    for node in 0..3 {
        assert_eq!(read_fleet(&site, node).await.unwrap().body, body);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn an_apply_with_a_lost_response_reports_the_true_state() {
    let site = start_site().await;
    let base = wait_converged(&site).await.version;
    let body = format!("{}\n# edited\n", site.fleet_toml());

    // The node reads the row back and finds that the write took effect.
    site.set_platform_fault(Fault::WriteAnswerLost)
        .await
        .unwrap();
    let report = apply(&site, 0, base, &body).await.unwrap();
    assert_eq!(report.version, base.next());
    site.set_platform_fault(Fault::None).await.unwrap();
    let after = wait_converged(&site).await;
    assert_eq!((after.version, &after.body), (base.next(), &body));

    // Nothing can be read back, so the result is unknown, or "not reached" where that is certain.
    let delay_ms = Millis(400);
    site.set_platform_fault(Fault::Slow { delay_ms })
        .await
        .unwrap();
    let again = format!("{body}# edited again\n");
    let lose_responses = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        site.set_platform_fault(Fault::AnswerLost).await.unwrap();
    };
    let (result, ()) = tokio::join!(apply(&site, 0, after.version, &again), lose_responses);
    site.set_platform_fault(Fault::None).await.unwrap();
    let final_version = wait_converged(&site).await.version;
    match result {
        Ok(report) => assert_eq!(final_version, report.version),
        Err(ApplyError::NotReached { .. }) => assert_eq!(final_version, after.version),
        Err(ApplyError::Unknown { .. }) => {
            assert!(final_version == after.version || final_version == after.version.next());
        }
        Err(other) => panic!("{other:?}"),
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_resumed_node_does_not_serve_by_a_replaced_configuration() {
    let site = start_site().await;
    let base = wait_converged(&site).await.version;
    assert_eq!(
        chat_as(&site, 2, SECOND_TEAM_KEY).await.status,
        StatusCode::OK
    );

    site.nodes[2].process.signal(Signal::SIGSTOP);
    let started = Instant::now();
    let report = apply(&site, 0, base, &without_second_team(&site.fleet_toml())).await;
    let report = report.unwrap();
    assert!(started.elapsed() < MAX_APPLY_TIME);
    let paused: NodeId = site.nodes[2].id.parse().unwrap();
    assert_eq!(report.stopped, [paused], "{report:?}");
    // Both other nodes must serve, so that a request through the resumed node could get a slot.
    for node in 0..2 {
        wait_until("the other nodes serve", async || {
            site.chat(node, "oar-assist", false, 2)
                .await
                .is_ok_and(|response| response.status == StatusCode::OK)
        })
        .await
        .unwrap();
    }

    site.nodes[2].process.signal(Signal::SIGCONT);
    wait_until("the node has the new configuration", async || {
        let response = chat_as(&site, 2, SECOND_TEAM_KEY).await;
        assert_ne!(
            response.status,
            StatusCode::OK,
            "served by a replaced configuration"
        );
        response.status == StatusCode::UNAUTHORIZED
    })
    .await
    .unwrap();
    site.shut_down().await;
}

#[tokio::test]
async fn no_node_reverts_during_applies_outages_and_restarts() {
    let mut site = start_site().await;
    let mut newest: BTreeMap<usize, ConfigVersion> = BTreeMap::new();
    for round in 0..4 {
        let base = wait_converged(&site).await.version;
        let body = format!("{}\n# round {round}\n", site.fleet_toml());
        apply(&site, round % 3, base, &body).await.unwrap();
        let replaced = round % 3;
        site.nodes[replaced].process.kill().await;
        newest.remove(&replaced);
        site.set_platform_fault(Fault::Refusing).await.unwrap();
        site.restart_node(replaced).unwrap();
        for _ in 0..40 {
            check_versions(&site, &mut newest, base.next()).await;
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        site.set_platform_fault(Fault::None).await.unwrap();
        assert_eq!(wait_converged(&site).await.version, base.next());
        check_versions(&site, &mut newest, base.next()).await;
    }
    site.shut_down().await;
}

/// Checks that no node reverts to an older version, and that a ready node has the accepted version.
async fn check_versions(
    site: &Site,
    newest: &mut BTreeMap<usize, ConfigVersion>,
    accepted: ConfigVersion,
) {
    for node in 0..site.nodes.len() {
        let Ok(status) = site.status(node).await else {
            continue;
        };
        let before = newest.insert(node, status.config).unwrap_or_default();
        assert!(
            status.config >= before,
            "node {node} reverted from {before}"
        );
        assert!(
            !status.ready || status.config >= accepted,
            "node {node} is ready without version {accepted}"
        );
    }
}

#[test]
fn an_older_configuration_never_replaces_a_newer_one() {
    let repository = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let read = |path: &str| std::fs::read_to_string(repository.join(path)).unwrap();
    let settings = NodeSettings::parse("node.toml", &read("settings/node.toml")).unwrap();
    let node = Node::new(settings).0;
    let newer = read("fleets/authority.toml");
    let older = read("fleets/association.toml");
    let apply_text = |version, text: &str| {
        let version = ConfigVersion(version);
        apply_config_text(&node, version, RowVersion(version.get()), text.to_owned())
    };
    assert_eq!(apply_text(2, &newer), Ok(true));
    assert_eq!(apply_text(1, &older), Ok(false));
    assert_eq!(apply_text(2, &older), Ok(false));
    let config = node.view().config.unwrap();
    assert_eq!((config.version, &config.body), (ConfigVersion(2), &newer));
}
