//! Real nodes on the users' platform: stopping, starting, and what people on call see.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::native_site::{LOOKUP_PATH, NativeSite, RESERVE_PATH, event_ids};

/// The work of a plain request in tests that do not look at it.
const SHORT: Duration = Duration::from_millis(5);

/// The events of a stream that lasts long enough for something to fail meanwhile.
const LONG_STREAM: &str = "200";

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_cuts_off_nothing_and_hands_its_lease_on() {
    let mut site = NativeSite::start(2, 4, Duration::from_millis(2_500)).await;
    site.wait_serving().await;
    let lease = site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    let index: usize = lease["holder"].as_str().unwrap()[1..]
        .parse::<usize>()
        .unwrap()
        - 1;
    let site_ref = &site;
    let stream = site_ref.stream(index, "s1", LONG_STREAM);
    let reserve = site_ref.ask(index, Method::POST, RESERVE_PATH, "r1", &[], "");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        site_ref.nodes[index].process.signal(Signal::SIGTERM);
        tokio::time::sleep(Duration::from_millis(200)).await;
        assert!(!site_ref.is_ready(&site_ref.nodes[index]).await);
        let late = site_ref.stream(index, "s2", "3").await.unwrap();
        assert_eq!(late.headers["connection"], "close");
        late
    };
    let (stream, reserve, late) = tokio::join!(stream, reserve, stop);
    assert_eq!(event_ids(&stream.unwrap()).len(), 200);
    assert_eq!(reserve.unwrap().status, StatusCode::OK);
    assert_eq!(late.status, StatusCode::OK);
    let status = site.nodes[index].process.wait().await.unwrap();
    assert!(status.success(), "{status}");
    wait_until("the other node leads", async || {
        let lease = site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
        lease["holder"] == format!("n{}", 2 - index)
    })
    .await
    .unwrap();
    site.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_read_again_on_a_signal() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.nodes[0].process.signal(Signal::SIGHUP);
    wait_until("the settings are read again", async || {
        site.nodes[0].process.log().contains("settings read again")
    })
    .await
    .unwrap();
    let answer = site.stream(0, "after", "3").await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn all_nodes_lost_at_once_find_the_groups_again() {
    let mut site = NativeSite::start(3, 4, SHORT).await;
    site.wait_serving().await;
    // Another group may still open meanwhile, so the same head is looked at again.
    let head = site.open_head().unwrap();
    let before = site.fleet.engine(&head).unwrap().seat();
    for node in &mut site.nodes {
        node.process.kill().await;
    }
    for index in 0..3 {
        site.restart_node(index);
    }
    site.wait_serving().await;
    assert_eq!(site.fleet.engine(&head).unwrap().seat(), before);
    let sites = Arc::new(site);
    let answer = sites.stream(2, "again", "10").await.unwrap();
    assert_eq!(event_ids(&answer).len(), 10);
    sites.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_by_route_and_outcome() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    site.ask(0, Method::GET, LOOKUP_PATH, "m1", &[], "")
        .await
        .unwrap();
    let url = site.nodes[0].metrics_url();
    let answer = site.client.call(Method::GET, &url, &[], "").await.unwrap();
    let text = answer.text();
    for line in [
        "cuminlb_requests_total{route=\"lookup\",outcome=\"200\"} 1",
        "cuminlb_groups_serving 1",
        "cuminlb_leads 1",
        "cuminlb_catalog_version 1",
    ] {
        assert!(text.contains(line), "{line} is not in {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_cause_of_a_failed_request_stands_in_the_log() {
    let site = NativeSite::start(1, 2, SHORT).await;
    site.wait_serving().await;
    let lines_of = |id: &str| -> Vec<serde_json::Value> {
        let log = site.nodes[0].process.log();
        let lines = log
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        let named = format!("\"{id}\"");
        lines
            .filter(|line: &serde_json::Value| line.to_string().contains(&named))
            .collect()
    };
    let has = async |id: &str, what: &str| {
        wait_until("the cause stands in the log", async || {
            lines_of(id)
                .iter()
                .any(|line| line.to_string().contains(what))
        })
        .await
        .unwrap();
    };
    // Refused: nobody may take it.
    site.fleet.rows.put("op", "evacuate/za", &json!({}));
    wait_until("lookups are refused", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "c0", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
    .unwrap();
    site.ask(0, Method::GET, LOOKUP_PATH, "c1", &[], "")
        .await
        .unwrap();
    has("c1", "no_group").await;
    assert!(site.nodes[0].process.log().contains("zone out"));
    site.fleet.rows.remove("op", "evacuate/za");
    // Failed: its worker answered with a failure.
    wait_until("lookups are served", async || {
        let answer = site.ask(0, Method::GET, LOOKUP_PATH, "c2", &[], "").await;
        answer.is_ok_and(|answer| answer.status == StatusCode::OK)
    })
    .await
    .unwrap();
    site.desk_failures.store(1, Ordering::Relaxed);
    site.ask(0, Method::POST, RESERVE_PATH, "c3", &[], "")
        .await
        .unwrap();
    has("c3", "\"outcome\":\"500\"").await;
    // Cut: the group of its stream lost a member and no other group could go on.
    let stream = site.stream(0, "c4", LONG_STREAM);
    let fault = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let head = site.open_head().unwrap();
        let member = site.member_beside(&head);
        site.fleet.engine(&member).unwrap().power_off();
    };
    let (cut, ()) = tokio::join!(stream, fault);
    assert!(cut.is_err());
    has("c4", "head suspected").await;
    has("c4", "stream ended").await;
}
