//! The configuration is applied as a whole, is in force everywhere within seconds, and never
//! reverts.

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

/// The time within which an accepted configuration is in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(5);

/// The key of the second team of every site.
const SECOND_TEAM_KEY: &str = "key-of-lami-juniors";

async fn start_site() -> Site {
    SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 2, 2))
        .start_serving()
        .await
        .unwrap()
}

async fn fleet(site: &Site, node: usize) -> Option<FleetDocument> {
    let answer = site
        .operator_call(node, Method::GET, "/fleet", json!(null))
        .await
        .ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Applies a fleet file as an operator who edited the version `base`.
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
    let answer = site
        .operator_call(node, Method::POST, "/apply", json!(request))
        .await
        .unwrap();
    if answer.status.is_success() {
        Ok(serde_json::from_slice(&answer.body).unwrap())
    } else {
        Err(serde_json::from_slice(&answer.body).unwrap())
    }
}

/// Waits until all nodes have the same version in force, and returns it with its text.
async fn settled(site: &Site) -> FleetDocument {
    let mut settled = None;
    wait_until("all nodes agree", async || {
        let mut documents = Vec::new();
        for node in 0..site.nodes.len() {
            let ready = site.status(node).await.is_ok_and(|status| status.ready);
            documents.push(fleet(site, node).await.filter(|_| ready));
        }
        let first = documents[0].clone();
        let agree = first.is_some() && documents.iter().all(|document| *document == first);
        settled = first;
        agree
    })
    .await
    .unwrap();
    settled.unwrap()
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
async fn of_two_racing_operators_exactly_one_wins() {
    let site = start_site().await;
    for round in 0..8 {
        let base = settled(&site).await.version;
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
        let document = settled(&site).await;
        assert_eq!(document.version, base.next());
        assert_eq!(document.body, bodies[winner]);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_large_fleet_file_is_in_force_everywhere_in_time() {
    let site = start_site().await;
    let base = settled(&site).await.version;
    let line = "# The boats of the dawn squad lie at the north pontoon.\n";
    let body = format!("{}{}", site.fleet_toml(), line.repeat(2_000));
    assert!(body.len() > 100_000);
    let started = Instant::now();
    let report = apply(&site, 2, base, &body).await.unwrap();
    assert_eq!(report.in_force.len(), 3, "{report:?}");
    assert!(started.elapsed() < IN_FORCE_WITHIN);
    for node in 0..3 {
        assert_eq!(fleet(&site, node).await.unwrap().body, body);
    }
    site.shut_down().await;
}

#[tokio::test]
async fn an_apply_whose_answer_is_lost_tells_the_truth() {
    let site = start_site().await;
    let base = settled(&site).await.version;
    let body = format!("{}\n# edited\n", site.fleet_toml());

    // Reading back shows that the write took effect.
    site.set_platform_fault(Fault::WriteAnswerLost)
        .await
        .unwrap();
    let report = apply(&site, 0, base, &body).await.unwrap();
    assert_eq!(report.version, base.next());
    site.set_platform_fault(Fault::None).await.unwrap();
    let after = settled(&site).await;
    assert_eq!((after.version, &after.body), (base.next(), &body));

    // Nothing can be read back, so the operator is told that it is unknown, or that nothing has
    // changed where that is certain.
    let delay_ms = Millis(400);
    site.set_platform_fault(Fault::Slow { delay_ms })
        .await
        .unwrap();
    let again = format!("{body}# edited again\n");
    let losing = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        site.set_platform_fault(Fault::AnswerLost).await.unwrap();
    };
    let (told, ()) = tokio::join!(apply(&site, 0, after.version, &again), losing);
    site.set_platform_fault(Fault::None).await.unwrap();
    let at_last = settled(&site).await.version;
    match told {
        Ok(report) => assert_eq!(at_last, report.version),
        Err(ApplyError::NotReached { .. }) => assert_eq!(at_last, after.version),
        Err(ApplyError::Unknown { .. }) => {
            assert!(at_last == after.version || at_last == after.version.next());
        }
        Err(other) => panic!("{other:?}"),
    }
    site.shut_down().await;
}

#[tokio::test]
async fn a_paused_node_does_not_go_on_with_a_replaced_configuration() {
    let site = start_site().await;
    let base = settled(&site).await.version;
    assert_eq!(
        chat_as(&site, 2, SECOND_TEAM_KEY).await.status,
        StatusCode::OK
    );

    site.nodes[2].process.signal(Signal::SIGSTOP);
    let started = Instant::now();
    let report = apply(&site, 0, base, &without_second_team(&site.fleet_toml())).await;
    let report = report.unwrap();
    assert!(started.elapsed() < IN_FORCE_WITHIN);
    let paused: NodeId = site.nodes[2].id.parse().unwrap();
    assert_eq!(report.stopped, [paused], "{report:?}");
    // Both remaining nodes serve, so a request through the paused node would find a slot.
    for node in 0..2 {
        wait_until("the other nodes serve", async || {
            site.chat(node, "oar-assist", false, 2)
                .await
                .is_ok_and(|answer| answer.status == StatusCode::OK)
        })
        .await
        .unwrap();
    }

    site.nodes[2].process.signal(Signal::SIGCONT);
    wait_until("the node has the new configuration", async || {
        let answer = chat_as(&site, 2, SECOND_TEAM_KEY).await;
        assert_ne!(
            answer.status,
            StatusCode::OK,
            "served as of a replaced configuration"
        );
        answer.status == StatusCode::UNAUTHORIZED
    })
    .await
    .unwrap();
    site.shut_down().await;
}

#[tokio::test]
async fn no_node_reverts_through_applies_an_outage_and_a_replacement() {
    let mut site = start_site().await;
    let mut newest: BTreeMap<usize, ConfigVersion> = BTreeMap::new();
    for round in 0..4 {
        let base = settled(&site).await.version;
        let body = format!("{}\n# round {round}\n", site.fleet_toml());
        apply(&site, round % 3, base, &body).await.unwrap();
        let replaced = round % 3;
        site.nodes[replaced].process.kill().await;
        newest.remove(&replaced);
        site.set_platform_fault(Fault::Refusing).await.unwrap();
        site.restart_node(replaced).unwrap();
        for _ in 0..40 {
            note_versions(&site, &mut newest, base.next()).await;
            tokio::time::sleep(Duration::from_millis(25)).await;
        }
        site.set_platform_fault(Fault::None).await.unwrap();
        assert_eq!(settled(&site).await.version, base.next());
        note_versions(&site, &mut newest, base.next()).await;
    }
    site.shut_down().await;
}

/// Checks that no node has gone back, and that a ready node has the accepted version.
async fn note_versions(
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
            "node {node} went back from {before}"
        );
        assert!(
            !status.ready || status.config >= accepted,
            "node {node} is ready too early"
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
    let put = |version, text: &str| {
        let version = ConfigVersion(version);
        apply_config_text(&node, version, RowVersion(version.get()), text.to_owned())
    };
    assert_eq!(put(2, &newer), Ok(true));
    assert_eq!(put(1, &older), Ok(false));
    assert_eq!(put(2, &older), Ok(false));
    let config = node.view().config.unwrap();
    assert_eq!((config.version, &config.body), (ConfigVersion(2), &newer));
}
