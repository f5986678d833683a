//! Tests of nodes on the users' platform: what a request needs is removed while it waits or runs.

use std::time::Duration;

use http::{Method, StatusCode};
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use tokio::time::sleep;

use crate::native_catalog::native_catalog;
use crate::native_site::{MODEL, NativeSite, RESERVE_PATH, STREAM_PATH, event_ids};
use crate::raw_caller::{RawCaller, request_head};

/// The processing time of a plain request, which is longer than the change takes.
const LONG_WORK: Duration = Duration::from_millis(1_500);

/// When the change is made, after the requests were sent.
const CHANGE_DELAY: Duration = Duration::from_millis(150);

/// The number of events of a stream that is longer than the change takes.
const LONG_STREAM_EVENTS: &str = "300";

/// Returns a catalog without routes and services, and with another key.
fn empty_catalog(version: u64) -> Value {
    let mut catalog = native_catalog(version, &[]);
    catalog["routes"] = json!([]);
    catalog["services"] = json!([]);
    catalog["tenants"] = json!([{"name": "others", "apiKeys": ["key-of-others"]}]);
    catalog
}

async fn remove_all(site: &NativeSite) {
    sleep(CHANGE_DELAY).await;
    site.nodes[0].process.signal(Signal::SIGHUP);
    site.fleet.rows.put("op", "config", &empty_catalog(2));
    site.wait_catalog(2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_waits_for_a_group_of_a_removed_service_is_refused_as_not_run() {
    let site = NativeSite::start(1, 0, LONG_WORK).await;
    site.wait_listening(0).await;
    site.wait_catalog(1).await;
    let (response, ()) = tokio::join!(site.stream(0, "w1", "3"), remove_all(&site));
    let response = response.unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.text().contains("not_run"), "{}", response.text());
    assert_eq!(site.fleet.runs.workers_of("w1"), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_run_are_answered_although_their_service_and_key_are_removed() {
    let site = NativeSite::start(1, 2, LONG_WORK).await;
    site.wait_serving().await;
    let headers = [("x-model", MODEL), ("x-token-count", "100,400")];
    let stream = site.send(
        0,
        Method::POST,
        STREAM_PATH,
        "s1",
        &headers,
        LONG_STREAM_EVENTS,
    );
    let reserve = site.send(0, Method::POST, RESERVE_PATH, "r1", &[], "");
    let (stream, reserve, ()) = tokio::join!(stream, reserve, remove_all(&site));
    assert_eq!(event_ids(&stream.unwrap()).len(), 300);
    assert_eq!(reserve.unwrap().status, StatusCode::OK);
    assert!(site.nodes[0].process.log().contains("settings read again"));
}

/// Sends a part of a request's body, changes the catalog, sends the rest, and returns the status.
async fn status_of_body_around(site: &NativeSite, id: &str, catalog: &Value) -> Option<u16> {
    let mut caller = RawCaller::connect(&site.nodes[0]).await;
    let end = "content-length: 8\r\n\r\nhalf";
    let head = request_head("POST", RESERVE_PATH, id, end);
    caller.write(head).await.unwrap();
    sleep(CHANGE_DELAY).await;
    site.fleet.rows.put("op", "config", catalog);
    site.wait_catalog(catalog["version"].as_u64().unwrap())
        .await;
    sleep(CHANGE_DELAY).await;
    caller.write("half").await.unwrap();
    let response = caller.read_response().await;
    response.map(|response| response.status)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_body_arrives_around_a_change_is_answered() {
    let site = NativeSite::start(1, 2, CHANGE_DELAY).await;
    site.wait_serving().await;
    let mut strict = native_catalog(2, &[]);
    for limit in ["maxBodyBytes", "headerTimeoutMs", "idleTimeoutMs"] {
        strict["limits"][limit] = json!(1);
    }
    let status = status_of_body_around(&site, "limits", &strict).await;
    assert_eq!(status, Some(200));
    let usual = native_catalog(3, &[]);
    site.fleet.rows.put("op", "config", &usual);
    site.wait_catalog(3).await;
    let status = status_of_body_around(&site, "removed", &empty_catalog(4)).await;
    assert_eq!(status, Some(503));
}
