//! Tests of nodes on the users' platform: rows of other writers that no node can use.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::native_site::{
    ENGINE_SERVICE, LOOKUP_PATH, MODEL, NativeSite, PLAIN_SERVICE, event_ids,
};

/// The processing time of a plain request, on which no test here depends.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// Returns an entry of an instance with `field` set to `value`, which may be no JSON value.
fn entry_with(service: &str, field: &str, value: &str) -> Vec<u8> {
    let mut entry = json!({
        "service": service, "address": "127.0.0.1:9", "zone": "za", "version": "v1", "slots": 4,
        "state": "ready", "warmupRemainingMs": 0, "sequence": 3, "born": 1, "domain": "d0",
        "staged": [MODEL],
    });
    entry[field] = json!("replaced");
    entry
        .to_string()
        .replace("\"replaced\"", value)
        .into_bytes()
}

/// Returns values of instance rows that name no instance to use.
fn odd_entries() -> Vec<Vec<u8>> {
    let deep = "[".repeat(100_000) + &"]".repeat(100_000);
    let deep_object = "{\"a\":".repeat(50_000) + "1" + &"}".repeat(50_000);
    let mut entries = vec![
        Vec::new(),
        vec![0xff; 64],
        deep.clone().into_bytes(),
        deep_object.into_bytes(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        entry_with("unknown", "address", "\"127.0.0.1:9\""),
    ];
    for service in [PLAIN_SERVICE, ENGINE_SERVICE] {
        for (field, value) in [
            ("address", "\"127.0.0.1:70000\""),
            ("address", "\"127.0.0.1:-1\""),
            ("address", "\"\""),
            ("address", deep.as_str()),
            ("slots", "1e999"),
            ("slots", "-1"),
            ("slots", "99999999999999999999999999"),
            ("warmupRemainingMs", "1e999"),
            ("born", "-5"),
            ("sequence", "0.5"),
            ("state", "\"odd\""),
            ("staged", deep.as_str()),
            ("group", "[]"),
            (
                "group",
                "{\"name\":\"m0.7\",\"epoch\":1e99,\"rank\":0,\"state\":\"open\"}",
            ),
        ] {
            entries.push(entry_with(service, field, value));
        }
    }
    entries
}

/// Returns entries that can be read but hold extreme values; nothing listens on their address.
fn extreme_entries() -> Vec<Vec<u8>> {
    let group = |epoch: &str, rank: &str| {
        let name = format!("{MODEL}.9");
        format!("{{\"name\":\"{name}\",\"epoch\":{epoch},\"rank\":{rank},\"state\":\"open\"}}")
    };
    let max = u64::MAX.to_string();
    vec![
        entry_with(ENGINE_SERVICE, "warmupRemainingMs", "1e308"),
        entry_with(ENGINE_SERVICE, "slots", &max),
        entry_with(ENGINE_SERVICE, "born", &max),
        entry_with(ENGINE_SERVICE, "sequence", &max),
        entry_with(ENGINE_SERVICE, "group", &group(&max, "0")),
        entry_with(ENGINE_SERVICE, "group", &group(&max, &max)),
        entry_with(ENGINE_SERVICE, "group", &group("1", "4294967295")),
    ]
}

/// Checks that the nodes serve and still follow the rows.
async fn check_nodes(site: &NativeSite, version: u64) {
    let route: Value = json!({
        "name": format!("new{version}"), "host": crate::native_site::HOST,
        "prefix": format!("/new{version}/"), "kind": "idempotent", "timeoutMs": 2000,
        "targetLatencyMs": 200, "service": PLAIN_SERVICE, "maxAttempts": 2,
    });
    site.put_catalog(version, &[route]);
    for (index, node) in site.nodes.iter().enumerate() {
        wait_until("the node follows the rows and serves", async || {
            let path = format!("/new{version}/");
            let id = format!("n{version}-{index}");
            let response = site.send(index, Method::GET, &path, &id, &[], "").await;
            response.is_ok_and(|response| response.status == StatusCode::OK)
        })
        .await
        .unwrap();
        let log = node.process.log();
        assert!(!log.contains("panicked"), "node {index}: {log}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_among_the_instances_neither_end_nor_blind_a_node() {
    let mut site = NativeSite::start(2, 4, SHORT_WORK).await;
    site.wait_serving().await;
    for (number, value) in odd_entries().iter().enumerate() {
        site.fleet
            .rows
            .put_bytes("servers", &format!("odd{number}"), value);
        let id = format!("between{number}");
        let response = site
            .send(number % 2, Method::GET, LOOKUP_PATH, &id, &[], "")
            .await;
        assert_eq!(
            response.unwrap().status,
            StatusCode::OK,
            "after odd{number}"
        );
    }
    for key in ["", "a b", "x&y=z", "%", "\u{1f6a3}", &"k".repeat(200)] {
        site.fleet.rows.put_bytes("servers", key, b"{}");
    }
    check_nodes(&site, 5).await;
    let response = site.stream(0, "after", "5").await.unwrap();
    assert_eq!(event_ids(&response), (1..=5).collect::<Vec<_>>());
    site.nodes[1].process.kill().await;
    site.restart_node(1);
    check_nodes(&site, 6).await;
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn extreme_values_in_readable_rows_do_not_end_a_node() {
    let site = NativeSite::start(2, 5, SHORT_WORK).await;
    site.wait_serving().await;
    for (number, value) in extreme_entries().iter().enumerate() {
        site.fleet
            .rows
            .put_bytes("servers", &format!("extreme{number}"), value);
    }
    check_nodes(&site, 5).await;
    wait_until("streams are served", async || {
        let response = site.stream(0, "after", "5").await;
        response.is_ok_and(|response| event_ids(&response) == [1, 2, 3, 4, 5])
    })
    .await
    .unwrap();
    check_nodes(&site, 6).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_in_the_other_tables_neither_end_nor_blind_a_node() {
    let site = NativeSite::start(2, 4, SHORT_WORK).await;
    site.wait_serving().await;
    let deep = "[".repeat(100_000);
    for (number, value) in ["", "null", deep.as_str(), "{\"peer\":\"127.0.0.1:70000\"}"]
        .iter()
        .enumerate()
    {
        let bytes = value.as_bytes();
        site.fleet
            .rows
            .put_bytes("cuminlb", &format!("node/odd{number}"), bytes);
        site.fleet
            .rows
            .put_bytes("cuminlb", &format!("odd{number}"), bytes);
        site.fleet
            .rows
            .put_bytes("op", &format!("odd{number}"), bytes);
        site.fleet
            .rows
            .put_bytes("op", &format!("evacuate/{number} odd"), bytes);
        site.fleet.rows.put_bytes("op", "config", bytes);
    }
    check_nodes(&site, 5).await;
    let response = site.stream(1, "after", "5").await.unwrap();
    assert_eq!(event_ids(&response), (1..=5).collect::<Vec<_>>());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_row_that_cannot_be_read_does_not_leave_the_nodes_without_a_leader() {
    let site = NativeSite::start(2, 4, SHORT_WORK).await;
    site.wait_serving().await;
    site.fleet
        .rows
        .put_bytes("cuminlb", "lease/leader", b"{\"holder\":");
    let lease = || site.fleet.rows.get("cuminlb", "lease/leader");
    wait_until("a node leads again", async || {
        lease().is_some_and(|lease| lease["holder"].is_string() && lease["length_ms"] != 0)
    })
    .await
    .unwrap();
}
