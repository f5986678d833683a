//! Tests of nodes on the users' platform: shutdown, restart, reload, metrics and logs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::json;

use crate::native_site::{LOOKUP_PATH, NativeSite, RESERVE_PATH, event_ids};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The number of events of a stream that lasts long enough for a fault during it.
const LONG_STREAM_EVENTS: &str = "200";

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_aborts_no_request_and_another_node_leads() {
    let mut site = NativeSite::start(2, 4, Duration::from_millis(2_500)).await;
    site.wait_serving().await;
    let lease = site.fleet.rows.get("cuminlb", "lease/leader").unwrap();
    let index: usize = lease["holder"].as_str().unwrap()[1..]
        .parse::<usize>()
        .unwrap()
        - 1;
    let site_ref = &site;
    let stream = site_ref.stream(index, "s1", LONG_STREAM_EVENTS);
    let reserve = site_ref.send(index, Method::POST, RESERVE_PATH, "r1", &[], "");
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
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn settings_are_reloaded_on_sighup() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site.nodes[0].process.signal(Signal::SIGHUP);
    wait_until("the settings are read again", async || {
        site.nodes[0].process.log().contains("settings read again")
    })
    .await
    .unwrap();
    let response = site.stream(0, "after", "3").await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn groups_survive_a_simultaneous_restart_of_all_nodes() {
    let mut site = NativeSite::start(3, 4, SHORT_WORK).await;
    site.wait_serving().await;
    // Another group may open meanwhile, so the state of the same head is compared.
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
    let site = Arc::new(site);
    let response = site.stream(2, "again", "10").await.unwrap();
    assert_eq!(event_ids(&response).len(), 10);
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_count_requests_by_route_and_outcome() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site.send(0, Method::GET, LOOKUP_PATH, "m1", &[], "")
        .await
        .unwrap();
    let url = site.nodes[0].metrics_url();
    let response = site.client.call(Method::GET, &url, &[], "").await.unwrap();
    let text = response.text();
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
async fn the_cause_of_a_failed_request_is_logged() {
    let site = NativeSite::start(1, 2, SHORT_WORK).await;
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
    let wait_logged = async |id: &str, what: &str| {
        wait_until("the cause is logged", async || {
            lines_of(id)
                .iter()
                .any(|line| line.to_string().contains(what))
        })
        .await
        .unwrap();
    };
    // Refused: the only zone is out, so no instance may run the request.
    site.fleet.rows.put("op", "evacuate/za", &json!({}));
    wait_until("lookups are refused", async || {
        let response = site.send(0, Method::GET, LOOKUP_PATH, "c0", &[], "").await;
        response.is_ok_and(|response| response.status == StatusCode::SERVICE_UNAVAILABLE)
    })
    .await
    .unwrap();
    site.send(0, Method::GET, LOOKUP_PATH, "c1", &[], "")
        .await
        .unwrap();
    wait_logged("c1", "no_group").await;
    assert!(site.nodes[0].process.log().contains("zone out"));
    site.fleet.rows.remove("op", "evacuate/za");
    // Failed: the worker responded with an error.
    wait_until("lookups are served", async || {
        let response = site.send(0, Method::GET, LOOKUP_PATH, "c2", &[], "").await;
        response.is_ok_and(|response| response.status == StatusCode::OK)
    })
    .await
    .unwrap();
    site.worker_failures.store(1, Ordering::Relaxed);
    site.send(0, Method::POST, RESERVE_PATH, "c3", &[], "")
        .await
        .unwrap();
    wait_logged("c3", "\"outcome\":\"500\"").await;
    // Aborted: the stream's group lost a member, and no other group could resume the stream.
    let stream = site.stream(0, "c4", LONG_STREAM_EVENTS);
    let fault = async {
        tokio::time::sleep(Duration::from_millis(400)).await;
        let head = site.open_head().unwrap();
        let member = site.other_member(&head);
        site.fleet.engine(&member).unwrap().power_off();
    };
    let (aborted, ()) = tokio::join!(stream, fault);
    assert!(aborted.is_err());
    wait_logged("c4", "head suspected").await;
    wait_logged("c4", "stream ended").await;
}
