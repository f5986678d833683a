//! Tests of `cuminctl`: its output, exit statuses and conflicts between operators.

use std::process::{Command, Output};

use cuminlb_caller::ApplyReport;
use cuminlb_standins::Fault;
use cuminlb_test_support::{ModelPlan, SiteBuilder};

use crate::support::{
    assert_exit_status, cuminctl, current_fleet, path_argument, stderr, stdout, write_temp_file,
};

const SUBCOMMANDS: [&str; 7] = [
    "check", "apply", "show", "status", "timeline", "top", "zone",
];

/// Runs `cuminctl` without a site.
fn cuminctl_without_site(nodes: &str, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_cuminctl"))
        .args(arguments)
        .env("CUMINCTL_NODES", nodes)
        .env("CUMINCTL_TOKEN", "some-token-of-operators")
        .output()
        .unwrap()
}

#[test]
fn each_subcommand_has_help() {
    let output = cuminctl_without_site("", &["--help"]);
    assert_exit_status(&output, 0);
    for subcommand in SUBCOMMANDS {
        assert!(stdout(&output).contains(subcommand), "{subcommand}");
        let help = cuminctl_without_site("", &[subcommand, "--help"]);
        assert_exit_status(&help, 0);
        assert!(stdout(&help).contains("--json"), "{subcommand}: {help:?}");
    }
    let version = cuminctl_without_site("", &["--version"]);
    assert!(stdout(&version).starts_with("cuminctl "), "{version:?}");
    assert_exit_status(&cuminctl_without_site("", &[]), 2);
    assert_exit_status(&cuminctl_without_site("", &["no-such-command"]), 2);
    assert_exit_status(
        &cuminctl_without_site("", &["status", "--no-such-option"]),
        2,
    );
    assert_exit_status(&cuminctl_without_site("", &["zone", "out"]), 2);
    assert_exit_status(&cuminctl_without_site("", &["zone", "sideways", "lami"]), 2);
    assert_exit_status(
        &cuminctl_without_site("", &["timeline", "--since", "yesterday"]),
        2,
    );
}

#[test]
fn unreachable_nodes_are_all_tried_and_named() {
    // Nothing listens on these addresses, since no site uses them.
    let nodes = ["127.9.9.1:1", "127.9.9.2:1"];
    for arguments in [
        &["status"][..],
        &["show"],
        &["timeline"],
        &["zone", "out", "lami"],
    ] {
        let output = cuminctl_without_site(&nodes.join(", "), arguments);
        assert_exit_status(&output, 3);
        for node in nodes {
            assert!(stderr(&output).contains(node), "{}", stderr(&output));
        }
        assert!(!stderr(&output).contains("some-token"));
    }
    let output = cuminctl_without_site("", &["status"]);
    assert_exit_status(&output, 3);
    assert!(stderr(&output).contains("--node"), "{}", stderr(&output));
    let output = cuminctl_without_site("localhost:1", &["status"]);
    assert_exit_status(&output, 2);
    assert!(stderr(&output).contains("`localhost:1`"));
}

#[tokio::test]
async fn concurrent_edits_end_in_a_conflict_with_a_hint() {
    let mut site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new("oar-assist", 1, 1))
        .start_serving()
        .await
        .unwrap();
    let document = current_fleet(&site).await;
    let edited = document.body.replace("share = 10", "share = 11");
    let file = write_temp_file(&edited);

    // A dry run shows the changed line and changes nothing.
    let dry_run = cuminctl(&site, &["apply", "--dry-run", path_argument(&file)]).await;
    assert_exit_status(&dry_run, 0);
    let shown = stdout(&dry_run);
    assert!(shown.contains("- share = 10\n+ share = 11\n"), "{shown}");
    assert!(
        !shown.contains("[[model_service]]"),
        "lines far from the change are shown: {shown}"
    );
    assert_eq!(current_fleet(&site).await, document);

    // The second of two edits of one version is refused with a hint on how to continue.
    let base = document.version.to_string();
    let first = cuminctl(
        &site,
        &["apply", "--json", "--base", &base, path_argument(&file)],
    )
    .await;
    assert_exit_status(&first, 0);
    let report: ApplyReport = serde_json::from_slice(&first.stdout).unwrap();
    assert_eq!(report.version, document.version.next());
    assert_eq!(report.in_force.len(), 2, "{report:?}");
    let second = cuminctl(&site, &["apply", "--base", &base, path_argument(&file)]).await;
    assert_exit_status(&second, 5);
    let errors = stderr(&second);
    assert!(errors.contains("cuminctl show"), "{errors}");

    // A file with errors is refused before it is sent.
    let wrong = write_temp_file(&edited.replace("share = 11", "share = 0"));
    let output = cuminctl(&site, &["apply", path_argument(&wrong)]).await;
    assert_exit_status(&output, 2);
    assert!(stderr(&output).contains("team[0].share"), "{output:?}");

    // A wrong token is refused and not printed.
    let output = cuminctl(&site, &["--token", "wrong-token-of-nobody", "show"]).await;
    assert_exit_status(&output, 4);
    assert!(!stderr(&output).contains("wrong-token"), "{output:?}");

    // Another node responds if the first one is down.
    site.nodes[0].process.kill().await;
    assert_eq!(current_fleet(&site).await.body, edited);

    // While the platform is down, an apply fails or its result is unknown.
    site.set_platform_fault(Fault::Refusing).await.unwrap();
    let output = cuminctl(&site, &["apply", path_argument(&file)]).await;
    assert!(
        [6, 7].contains(&output.status.code().unwrap()),
        "{output:?}"
    );
    site.set_platform_fault(Fault::None).await.unwrap();
    site.shut_down().await;
}
