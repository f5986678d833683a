//! Tests of what nodes keep of instances and zones when the store is restored from a copy that lacks
//! the latest writes.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::native_site::{LOOKUP_PATH, NativeSite};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The number of nodes.
const NODES: usize = 2;

/// How long the store serves no node before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(1_200);

/// The time for which the tests observe where requests go.
const OBSERVED: Duration = Duration::from_millis(3_000);

/// Delay between two requests to each node.
const REQUEST_PERIOD: Duration = Duration::from_millis(50);

/// The number of restorations of a test of how fast a node reacts to one.
const RESTORATIONS: u32 = 5;

/// How much later each one comes after the node was listed than the one before.
const RESTORATION_SHIFT: Duration = Duration::from_millis(350);

/// The time within which a node that a restored store lacks is listed again.
const MAX_UNLISTED: Duration = Duration::from_millis(1_000);

/// Sends a lookup to each node; returns the statuses, and the workers that ran them.
async fn look_up(site: &NativeSite, id: &str) -> (Vec<StatusCode>, Vec<String>) {
    let mut statuses = Vec::new();
    let mut workers = Vec::new();
    for node in 0..NODES {
        let id = format!("{id}-{node}");
        let response = site
            .send(node, Method::GET, LOOKUP_PATH, &id, &[], "")
            .await;
        statuses.push(response.unwrap().status);
        workers.extend(site.fleet.runs.workers_of(&id));
    }
    (statuses, workers)
}

/// Sends lookups for a while; returns the workers that ran any.
async fn observe_workers(site: &NativeSite, name: &str) -> Vec<String> {
    let start = Instant::now();
    let mut workers = Vec::new();
    while start.elapsed() < OBSERVED {
        let id = format!("{name}-{}", start.elapsed().as_millis());
        workers.extend(look_up(site, &id).await.1);
        sleep(REQUEST_PERIOD).await;
    }
    workers.sort();
    workers.dedup();
    workers
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_instance_gets_nothing_although_the_copy_lists_it_as_ready() {
    let site = NativeSite::start(NODES, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let rows = &site.fleet.rows;
    let copy = rows.copy();
    let mut entry = rows.get("servers", "p0").unwrap();
    entry["state"] = json!("draining");
    entry["sequence"] = json!(2);
    rows.put("servers", "p0", &entry);
    sleep(Duration::from_secs(1)).await;
    rows.remove("servers", "p0");
    assert_eq!(observe_workers(&site, "drained").await, ["p1"]);
    site.restore_store(&copy, AWAY).await;
    assert_eq!(observe_workers(&site, "restored").await, ["p1"]);
    entry["state"] = json!("ready");
    entry["born"] = json!(2);
    rows.put("servers", "p0", &entry);
    wait_until("the instance that started again is used", async || {
        let (_, workers) = look_up(&site, "started").await;
        workers.contains(&"p0".to_owned())
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_the_copy_lacks_is_used_and_dropped_unless_it_writes_again() {
    let site = NativeSite::start(NODES, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let rows = &site.fleet.rows;
    let entries = ["p0", "p1"].map(|id| rows.get("servers", id).unwrap());
    rows.remove("servers", "p0");
    rows.remove("servers", "p1");
    let copy = rows.copy();
    rows.put("servers", "p0", &entries[0]);
    rows.put("servers", "p1", &entries[1]);
    wait_until("both instances are used", async || {
        let (statuses, _) = look_up(&site, "before").await;
        statuses == [StatusCode::OK; NODES]
    })
    .await
    .unwrap();
    site.restore_store(&copy, Duration::ZERO).await;
    rows.put("servers", "p0", &entries[0]);
    let start = Instant::now();
    while start.elapsed() < Duration::from_millis(1_000) {
        let (statuses, _) = look_up(&site, "kept").await;
        assert_eq!(statuses, [StatusCode::OK; NODES]);
        sleep(REQUEST_PERIOD).await;
    }
    sleep(OBSERVED).await;
    assert_eq!(observe_workers(&site, "later").await, ["p0"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_out_that_the_copy_lacks_stays_out() {
    let site = NativeSite::start(NODES, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let rows = &site.fleet.rows;
    let copy = rows.copy();
    rows.put("op", "evacuate/za", &json!({}));
    wait_until("nothing is sent to the zone", async || {
        let (statuses, _) = look_up(&site, "out").await;
        statuses == [StatusCode::SERVICE_UNAVAILABLE; NODES]
    })
    .await
    .unwrap();
    site.restore_store(&copy, AWAY).await;
    assert!(observe_workers(&site, "restored").await.is_empty());
    rows.put("op", "evacuate/za", &json!({}));
    assert!(observe_workers(&site, "again").await.is_empty());
    rows.remove("op", "evacuate/za");
    wait_until("the zone is used again", async || {
        let (statuses, _) = look_up(&site, "back").await;
        statuses == [StatusCode::OK; NODES]
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_the_copy_lacks_is_listed_again_at_once() {
    let mut site = NativeSite::start(1, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let copy = site.fleet.rows.copy();
    site.add_node().await;
    let is_listed = || site.fleet.rows.get("cuminlb", "node/n2").is_some();
    for restoration in 0..RESTORATIONS {
        wait_until("the node is listed", async || is_listed())
            .await
            .unwrap();
        site.wait_serving().await;
        sleep(RESTORATION_SHIFT * restoration).await;
        site.restore_store(&copy, Duration::ZERO).await;
        assert!(!is_listed());
        let start = Instant::now();
        wait_until("the node is listed again", async || is_listed())
            .await
            .unwrap();
        assert!(
            start.elapsed() < MAX_UNLISTED,
            "restoration {restoration}: {:?}",
            start.elapsed()
        );
    }
}
