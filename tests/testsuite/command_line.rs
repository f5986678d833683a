//! The command line of operators: what it prints and how it ends.

use std::process::{Command, Output};

use cuminlb_caller::{ApplyReport, FleetDocument, FleetStatus};
use cuminlb_standins::Fault;
use cuminlb_test_support::{ModelPlan, PlainPlan, Site, SiteBuilder, wait_until};
use cuminlb_types::prelude::*;
use tempfile::NamedTempFile;

use crate::support::{cuminctl, stderr, stdout};

const SUBCOMMANDS: [&str; 7] = [
    "check", "apply", "show", "status", "timeline", "top", "zone",
];

/// Runs `cuminctl` without a site.
fn cuminctl_alone(nodes: &str, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cuminctl"))
        .args(arguments)
        .env("CUMINCTL_NODES", nodes)
        .env("CUMINCTL_TOKEN", "some-token-of-operators")
        .output()
        .unwrap()
}

fn file_of(text: &str) -> NamedTempFile {
    let file = NamedTempFile::new().unwrap();
    std::fs::write(file.path(), text).unwrap();
    file
}

fn path_of(file: &NamedTempFile) -> &str {
    file.path().to_str().unwrap()
}

fn assert_code(output: &Output, code: i32) {
    assert_eq!(output.status.code(), Some(code), "{output:?}");
}

async fn fleet_in_force(site: &Site) -> FleetDocument {
    let output = cuminctl(site, &["show", "--json"]).await;
    assert_code(&output, 0);
    serde_json::from_slice(&output.stdout).unwrap()
}

async fn status(site: &Site) -> FleetStatus {
    let output = cuminctl(site, &["status", "--json"]).await;
    assert_code(&output, 0);
    serde_json::from_slice(&output.stdout).unwrap()
}

#[test]
fn help_is_there_for_each_subcommand() {
    let output = cuminctl_alone("", &["--help"]);
    assert_code(&output, 0);
    for subcommand in SUBCOMMANDS {
        assert!(stdout(&output).contains(subcommand), "{subcommand}");
        let help = cuminctl_alone("", &[subcommand, "--help"]);
        assert_code(&help, 0);
        assert!(stdout(&help).contains("--json"), "{subcommand}: {help:?}");
    }
    let version = cuminctl_alone("", &["--version"]);
    assert!(stdout(&version).starts_with("cuminctl "), "{version:?}");
    assert_code(&cuminctl_alone("", &[]), 2);
    assert_code(&cuminctl_alone("", &["no-such-command"]), 2);
    assert_code(&cuminctl_alone("", &["status", "--no-such-option"]), 2);
    assert_code(&cuminctl_alone("", &["zone", "out"]), 2);
    assert_code(&cuminctl_alone("", &["zone", "sideways", "lami"]), 2);
    assert_code(
        &cuminctl_alone("", &["timeline", "--since", "yesterday"]),
        2,
    );
}

#[test]
fn unreachable_nodes_are_all_tried_and_named() {
    // Nothing listens on these addresses: they belong to no site.
    let nodes = ["127.9.9.1:1", "127.9.9.2:1"];
    for arguments in [
        &["status"][..],
        &["show"],
        &["timeline"],
        &["zone", "out", "lami"],
    ] {
        let output = cuminctl_alone(&nodes.join(", "), arguments);
        assert_code(&output, 3);
        for node in nodes {
            assert!(stderr(&output).contains(node), "{}", stderr(&output));
        }
        assert!(!stderr(&output).contains("some-token"));
    }
    let output = cuminctl_alone("", &["status"]);
    assert_code(&output, 3);
    assert!(stderr(&output).contains("--node"), "{}", stderr(&output));
    let output = cuminctl_alone("localhost:1", &["status"]);
    assert_code(&output, 2);
    assert!(stderr(&output).contains("`localhost:1`"));
}

#[tokio::test]
async fn racing_operators_get_a_conflict_and_a_way_on() {
    let mut site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new("oar-assist", 1, 1))
        .start_serving()
        .await
        .unwrap();
    let document = fleet_in_force(&site).await;
    let edited = document.body.replace("share = 10", "share = 11");
    let file = file_of(&edited);

    // A dry run shows the changed line and changes nothing.
    let dry_run = cuminctl(&site, &["apply", "--dry-run", path_of(&file)]).await;
    assert_code(&dry_run, 0);
    let shown = stdout(&dry_run);
    assert!(shown.contains("- share = 10\n+ share = 11\n"), "{shown}");
    assert!(
        !shown.contains("[[model_service]]"),
        "far lines are left out: {shown}"
    );
    assert_eq!(fleet_in_force(&site).await, document);

    // Of two edits of one version the second is refused and told what to do.
    let base = document.version.to_string();
    let first = cuminctl(&site, &["apply", "--json", "--base", &base, path_of(&file)]).await;
    assert_code(&first, 0);
    let report: ApplyReport = serde_json::from_slice(&first.stdout).unwrap();
    assert_eq!(report.version, document.version.next());
    assert_eq!(report.in_force.len(), 2, "{report:?}");
    let second = cuminctl(&site, &["apply", "--base", &base, path_of(&file)]).await;
    assert_code(&second, 5);
    let errors = stderr(&second);
    assert!(errors.contains("cuminctl show"), "{errors}");

    // A file with mistakes is refused before it is sent.
    let wrong = file_of(&edited.replace("share = 11", "share = 0"));
    let output = cuminctl(&site, &["apply", path_of(&wrong)]).await;
    assert_code(&output, 2);
    assert!(stderr(&output).contains("team[0].share"), "{output:?}");

    // A wrong token is refused and not shown.
    let output = cuminctl(&site, &["--token", "wrong-token-of-nobody", "show"]).await;
    assert_code(&output, 4);
    assert!(!stderr(&output).contains("wrong-token"), "{output:?}");

    // The next node answers for one that has gone.
    site.nodes[0].process.kill().await;
    assert_eq!(fleet_in_force(&site).await.body, edited);

    // While the platform is down nothing changes, and that is said.
    site.set_platform_fault(Fault::Refusing).await.unwrap();
    let output = cuminctl(&site, &["apply", path_of(&file)]).await;
    assert!(
        [6, 7].contains(&output.status.code().unwrap()),
        "{output:?}"
    );
    site.set_platform_fault(Fault::None).await.unwrap();
    site.shut_down().await;
}

#[tokio::test]
async fn a_zone_goes_out_and_comes_back_and_the_rest_of_the_file_stays() {
    let site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 3, 1))
        .start_serving()
        .await
        .unwrap();
    let commented = format!("# kept by the desk\n{}", site.fleet_toml());
    let file = file_of(&commented);
    assert_code(&cuminctl(&site, &["apply", path_of(&file)]).await, 0);
    let before = fleet_in_force(&site).await;

    let dry_run = cuminctl(&site, &["zone", "--dry-run", "out", "lami"]).await;
    assert!(
        stdout(&dry_run).contains("- state = \"in\"\n+ state = \"out\"\n"),
        "{dry_run:?}"
    );
    assert_code(&cuminctl(&site, &["zone", "out", "lami"]).await, 0);
    let out = fleet_in_force(&site).await;
    assert_eq!(out.version, before.version.next());
    assert!(out.body.starts_with("# kept by the desk\n"));
    wait_until("no group serves in the zone", async || {
        let status = status(&site).await;
        let in_zone = |group: &cuminlb_caller::GroupStatus| group.zone.as_str() == "lami";
        status
            .groups()
            .filter(|group| in_zone(group))
            .all(|group| group.owned.is_none_or(|owned| owned.taken == SlotCount(0)))
            && !status
                .zones
                .iter()
                .any(|zone| zone.id.as_str() == "lami" && zone.takes_work)
    })
    .await
    .unwrap();
    let again = cuminctl(&site, &["zone", "out", "lami"]).await;
    assert_code(&again, 0);
    assert!(stdout(&again).contains("already"), "{again:?}");
    assert_eq!(fleet_in_force(&site).await.version, out.version);

    assert_code(&cuminctl(&site, &["zone", "in", "lami"]).await, 0);
    assert_eq!(fleet_in_force(&site).await.body, before.body);
    let unknown = cuminctl(&site, &["zone", "out", "lamy"]).await;
    assert_code(&unknown, 2);
    assert!(stderr(&unknown).contains("lami"), "{unknown:?}");
    site.shut_down().await;
}

#[tokio::test]
async fn status_and_top_show_each_group_as_its_owner_sees_it() {
    let mut site = SiteBuilder::default()
        .nodes(3)
        .model(ModelPlan::new("oar-assist", 3, 1))
        .plain(PlainPlan::new("boat-desk", 1))
        .start_serving()
        .await
        .unwrap();
    for node in 0..3 {
        site.chat(node, "oar-assist", true, 2).await.unwrap();
    }
    let seen = status(&site).await;
    assert_eq!(seen.nodes.len(), 3);
    assert_eq!(seen.groups().count(), 4);
    for group in seen.groups() {
        let owner = group.owner.clone().unwrap();
        let report = seen.nodes.iter().find(|node| node.node == owner).unwrap();
        assert!(report.groups.iter().any(|report| report.group == group.id));
        assert!(group.is_serving(), "{group:?}");
    }
    let answered = seen.nodes.iter().flat_map(|node| &node.teams);
    assert_eq!(answered.map(|team| team.answered).sum::<u64>(), 3);
    assert_code(&cuminctl(&site, &["status", "--check"]).await, 0);

    let text = stdout(&cuminctl(&site, &["status"]).await);
    for expected in [
        "node-2",
        "walu-bay",
        "oar-assist",
        "serving",
        "zone lami is in",
    ] {
        assert!(text.contains(expected), "no `{expected}` in:\n{text}");
    }
    let top = cuminctl(&site, &["top", "--once"]).await;
    assert_code(&top, 0);
    for expected in ["ZONE", "SERVICE", "TEAM", "suva-rowing", "boat-desk", "3/3"] {
        assert!(
            stdout(&top).contains(expected),
            "no `{expected}` in:\n{}",
            stdout(&top)
        );
    }
    let top = cuminctl(&site, &["top", "--once", "--json"]).await;
    serde_json::from_slice::<FleetStatus>(&top.stdout).unwrap();

    // A node that went away is named, and the check fails.
    site.nodes[2].process.kill().await;
    let check = cuminctl(&site, &["status", "--check"]).await;
    assert_code(&check, 9);
    assert!(
        stdout(&check).contains("node-2 gave no answer"),
        "{check:?}"
    );
    site.shut_down().await;
}
