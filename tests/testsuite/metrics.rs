//! Tests of the metrics, probes and logs of a node.

use std::collections::BTreeSet;

use cuminlb_test_support::{ModelPlan, PlainPlan, Site, SiteBuilder, wait_until};
use http::{Method, StatusCode};
use serde_json::json;

const OPERATOR_PORT: u16 = 8_081;

/// Reads the metrics of a node without a token.
async fn metrics(site: &Site, node: usize) -> String {
    let url = format!("http://{}:{OPERATOR_PORT}/metrics", site.nodes[node].ip);
    let response = site.client().call(Method::GET, &url, &[], "").await;
    let response = response.unwrap();
    assert_eq!(response.status, StatusCode::OK);
    response.text()
}

/// Returns the value of one series, 0 if it is absent.
fn series_value(text: &str, series: &str) -> f64 {
    let line = text.lines().find_map(|line| line.strip_prefix(series));
    let number = line.and_then(|rest| rest.strip_prefix(' '));
    number.map_or(0.0, |number| number.parse().unwrap())
}

fn sum_series(text: &str, name: &str) -> f64 {
    let lines = text.lines().filter(|line| line.starts_with(name));
    lines
        .filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok())
        .sum()
}

fn series_names(text: &str) -> BTreeSet<&str> {
    let lines = text.lines().filter(|line| !line.starts_with('#'));
    lines
        .filter_map(|line| Some(line.rsplit_once(' ')?.0))
        .collect()
}

async fn send_requests(site: &Site) {
    for _ in 0..4 {
        let response = site.chat(0, "oar-assist", true, 2).await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
    }
    let refused = site.chat(0, "no-such-model", true, 2).await.unwrap();
    assert_eq!(refused.status, StatusCode::NOT_FOUND);
    let path = "/boat-desk/fleet";
    let called = site.call_plain(0, Method::GET, path, None, "").await;
    assert_eq!(called.unwrap().status, StatusCode::OK);
}

#[tokio::test]
async fn metrics_count_requests_limits_groups_and_calls() {
    let site = SiteBuilder::default()
        .nodes(2)
        .model(ModelPlan::new("oar-assist", 2, 1))
        .plain(PlainPlan::new("boat-desk", 1))
        .start_serving()
        .await
        .unwrap();
    send_requests(&site).await;
    wait_until("no request is in flight", async || {
        let text = metrics(&site, 0).await;
        sum_series(&text, "cuminlb_requests_in_flight{") == 0.0
    })
    .await
    .unwrap();
    let text = metrics(&site, 0).await;
    for (name, expected) in [
        (
            r#"cuminlb_requests_ended_total{service="oar-assist",outcome="answered",code="ok"}"#,
            4.0,
        ),
        (
            r#"cuminlb_team_requests_ended_total{team="suva-rowing",outcome="answered"}"#,
            5.0,
        ),
        (
            r#"cuminlb_requests_rejected_total{code="unknown_service"}"#,
            1.0,
        ),
        (
            r#"cuminlb_request_time_to_first_byte_seconds_count{service="oar-assist"}"#,
            4.0,
        ),
        (
            r#"cuminlb_request_duration_seconds_count{service="oar-assist"}"#,
            4.0,
        ),
        (
            r#"cuminlb_request_queue_wait_seconds_count{service="oar-assist"}"#,
            4.0,
        ),
        (r#"cuminlb_requests_waiting{service="oar-assist"}"#, 0.0),
        (r#"cuminlb_groups_wanted{service="oar-assist"}"#, 2.0),
        (r#"cuminlb_groups_formed{service="oar-assist"}"#, 2.0),
        (
            r#"cuminlb_team_rate_limit_per_second{team="suva-rowing"}"#,
            10_000.0,
        ),
        (r#"cuminlb_zone_in{zone="lami"}"#, 1.0),
        ("cuminlb_node_ready", 1.0),
        ("cuminlb_node_draining", 0.0),
        ("cuminlb_config_version", 1.0),
        ("cuminlb_peers_linked", 1.0),
        ("cuminlb_requests_limit", 1_024.0),
    ] {
        assert_eq!(series_value(&text, name), expected, "{name} in:\n{text}");
    }
    for name in [
        r#"cuminlb_platform_calls_total{call="table_read",outcome="answered"}"#,
        r#"cuminlb_platform_call_duration_seconds_count{call="instance_list"}"#,
        r#"cuminlb_peer_messages_received_total{message="exchange"}"#,
        r#"cuminlb_events_total{kind="config_in_force"}"#,
        "cuminlb_peer_calls_total",
    ] {
        assert!(series_value(&text, name) > 0.0, "{name} in:\n{text}");
    }
    let other = metrics(&site, 1).await;
    for name in ["cuminlb_group_leases_held", "cuminlb_groups_serving{"] {
        assert_eq!(
            sum_series(&text, name) + sum_series(&other, name),
            3.0,
            "{name}"
        );
    }
    let slots =
        sum_series(&text, "cuminlb_slots_limit{") + sum_series(&other, "cuminlb_slots_limit{");
    assert!(slots >= 3.0, "{slots}");

    // Every metric has a help text, and more requests add no series.
    for line in text.lines().filter(|line| line.starts_with("# TYPE ")) {
        let name = line.split(' ').nth(2).unwrap();
        let help = text
            .lines()
            .find(|line| line.starts_with(&format!("# HELP {name} ")));
        assert!(
            help.is_some_and(|help| help.len() > name.len() + 20),
            "{line}"
        );
    }
    send_requests(&site).await;
    let later = metrics(&site, 0).await;
    let known = series_names(&text);
    let new: Vec<&str> = series_names(&later).difference(&known).copied().collect();
    assert!(new.is_empty(), "{new:?}");
    site.shut_down().await;
}

#[tokio::test]
async fn metrics_are_at_the_operator_port_only_and_probes_need_no_token() {
    let site = SiteBuilder::default().nodes(1).start().await.unwrap();
    let at_callers = site
        .client()
        .call(Method::GET, &site.caller_url(0, "/metrics"), &[], "")
        .await
        .unwrap();
    assert_ne!(at_callers.status, StatusCode::OK);
    assert!(!at_callers.text().contains("cuminlb_"));
    let get = async |path: &str| {
        let url = format!("http://{}:{OPERATOR_PORT}{path}", site.nodes[0].ip);
        let response = site.client().call(Method::GET, &url, &[], "").await;
        response.unwrap().status
    };
    assert_eq!(get("/healthz").await, StatusCode::OK);
    assert_eq!(get("/readyz").await, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(get("/status").await, StatusCode::UNAUTHORIZED);
    site.apply(&site.fleet_toml()).await.unwrap();
    wait_until("the node is ready", async || {
        get("/readyz").await == StatusCode::OK
    })
    .await
    .unwrap();
    site.shut_down().await;
}

#[tokio::test]
async fn logs_are_json_with_a_level_for_each_target() {
    let mut site = SiteBuilder::default()
        .nodes(1)
        .model(ModelPlan::new("oar-assist", 1, 1))
        .settings(
            "[log]\nlevel = \"debug\"\nformat = \"json\"\n\
             targets = [\"cuminlb::control=off\", \"tarpc=off\"]\n",
        )
        .start_serving()
        .await
        .unwrap();
    let refused = site.chat(0, "no-such-model", false, 1).await.unwrap();
    assert_eq!(refused.json()["error"]["run_state"], json!("not_run"));
    site.nodes[0].process.terminate().await.unwrap();
    let log = site.nodes[0].process.log();
    let lines: Vec<serde_json::Value> = log
        .lines()
        .map(|line| serde_json::from_str(line).unwrap_or_else(|error| panic!("{error}: {line}")))
        .collect();
    assert!(!lines.is_empty());
    for line in &lines {
        let target = line["target"].as_str().unwrap();
        assert!(!target.starts_with("cuminlb::control"), "{line}");
        assert!(line["time"].as_str().unwrap().ends_with('Z'), "{line}");
        assert!(["ERROR", "WARN", "INFO", "DEBUG"].contains(&line["level"].as_str().unwrap()));
    }
    assert!(
        lines
            .iter()
            .any(|line| line["target"] == "cuminlb::ops::run_node")
    );
    assert!(!log.contains(site.operator_token()) && !log.contains(site.api_key()));
    site.shut_down().await;
}
