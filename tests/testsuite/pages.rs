//! Tests that the documentation lists all refusal codes, exit statuses, metrics and subcommands.

use std::collections::BTreeSet;

use cuminlb_test_support::{ModelPlan, SiteBuilder};
use http::{Method, StatusCode};

use crate::support::{cuminctl, stdout};

const API: &str = include_str!("../../docs/API.md");
const OPERATIONS: &str = include_str!("../../docs/OPERATIONS.md");
const REFUSAL_KINDS: &str =
    include_str!("../../crates/cuminlb-routing/src/refusal/refusal_kind.rs");
const COMMAND_ERRORS: &str = include_str!("../../src/bin/cuminctl/commands/command_error.rs");

/// Returns all substrings of a text between the delimiters `start` and `end`.
fn between<'a>(text: &'a str, start: &str, end: &str) -> BTreeSet<&'a str> {
    let chunks = text.split(start).skip(1);
    chunks
        .filter_map(|chunk| chunk.split_once(end))
        .map(|(found, _)| found)
        .collect()
}

#[test]
fn every_refusal_code_is_documented() {
    let codes = between(REFUSAL_KINDS, "=> \"", "\"");
    assert!(codes.contains("no_slot"), "{codes:?}");
    for code in codes {
        assert!(API.contains(&format!("| `{code}` |")), "{code} is missing");
    }
}

#[test]
fn every_exit_status_is_documented() {
    for status in 0..=9 {
        assert!(OPERATIONS.contains(&format!("\n| {status} | ")), "{status}");
    }
    assert!(
        !COMMAND_ERRORS.contains("=> 10"),
        "exit status 10 is not documented"
    );
}

#[tokio::test]
async fn every_metric_and_subcommand_is_documented() {
    let site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new("oar-assist", 1, 1))
        .start_serving()
        .await
        .unwrap();
    let response = site.chat(0, "oar-assist", true, 2).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    let url = format!("http://{}:8081/metrics", site.nodes[0].ip);
    let metrics = site
        .client()
        .call(Method::GET, &url, &[], "")
        .await
        .unwrap();
    let text = metrics.text();
    let types: BTreeSet<(&str, &str)> = text
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE ")?.split_once(' '))
        .collect();
    let exposed: BTreeSet<String> = types
        .into_iter()
        .map(|(name, kind)| match kind {
            "counter" => format!("{name}_total"),
            _ => name.to_owned(),
        })
        .collect();
    let documented = between(OPERATIONS, "`cuminlb_", "`");
    let documented: BTreeSet<String> = documented
        .into_iter()
        .map(|name| format!("cuminlb_{name}"))
        .collect();
    assert_eq!(documented, exposed);

    let help = stdout(&cuminctl(&site, &["--help"]).await);
    for command in [
        "check", "apply", "show", "status", "top", "zone", "timeline",
    ] {
        assert!(help.contains(command), "{command}");
        assert!(OPERATIONS.contains(&format!("| `{command}")), "{command}");
    }
    site.shut_down().await;
}
