//! The command line of operators: what it prints and how it ends.

use std::process::{Command, Output};

use cuminlb_caller::ApplyReport;
use cuminlb_standins::Fault;
use cuminlb_test_support::{ModelPlan, SiteBuilder};

use crate::support::{assert_code, cuminctl, file_of, fleet_in_force, path_of, stderr, stdout};

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
