//! Tests of nodes on the users' platform whose store is restored from a copy that lacks the latest
//! writes.

use std::time::Duration;

use cuminlb_native_standins::StoreCopy;
use cuminlb_test_support::wait_until;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use crate::native_feeds::store_callers;
use crate::native_site::{HOST, NativeSite, PLAIN_SERVICE};

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The number of nodes, of which some follow the store and others a node.
const NODES: usize = 4;

/// The time between two checks that routes are served.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// How long the store serves no node before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(1_200);

/// The time within which a catalog must be active on all nodes that the store serves.
const CATALOG_BOUND: Duration = Duration::from_secs(2);

/// How much longer it may take when the store has just come back or serves only some nodes.
const MAX_STRETCH: Duration = Duration::from_secs(6);

/// The number of writes that raise the version of a restored store above that of its lost writes.
const CATCH_UP_WRITES: usize = 60;

/// Returns a route to the plain service, whose prefix is its name.
fn route(name: &str) -> Value {
    json!({
        "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": "idempotent",
        "timeoutMs": 2000, "targetLatencyMs": 200, "service": PLAIN_SERVICE, "maxAttempts": 2,
    })
}

/// Starts a site on which each node serves.
async fn start_site() -> NativeSite {
    let site = NativeSite::start(NODES, 2, SHORT_WORK).await;
    site.wait_serving().await;
    site
}

/// Returns the status of a request for a route.
async fn status(site: &NativeSite, node: usize, name: &str) -> Option<StatusCode> {
    let path = format!("/{name}/");
    let response = site.send(node, Method::GET, &path, name, &[], "").await;
    response.ok().map(|response| response.status)
}

/// Waits until a node serves a route.
async fn wait_route(site: &NativeSite, node: usize, name: &str) {
    wait_until(&format!("node {node} has the route {name}"), async || {
        status(site, node, name).await == Some(StatusCode::OK)
    })
    .await
    .unwrap();
}

/// Writes a catalog and checks that every node serves its route within a time.
async fn check_catalog(site: &NativeSite, version: u64, names: &[&str], limit: Duration) {
    let routes: Vec<Value> = names.iter().map(|name| route(name)).collect();
    site.put_catalog(version, &routes);
    let start = Instant::now();
    for node in 0..NODES {
        wait_route(site, node, names[names.len() - 1]).await;
    }
    let elapsed = start.elapsed();
    assert!(elapsed < limit, "version {version} after {elapsed:?}");
}

/// Checks that every node serves a route at this moment.
async fn assert_serving(site: &NativeSite, name: &str) {
    for node in 0..NODES {
        let status = status(site, node, name).await;
        assert_eq!(status, Some(StatusCode::OK), "node {node}, route {name}");
    }
}

/// Checks that every node serves a route at any time.
async fn keep_asserting(site: &NativeSite, name: &str) {
    loop {
        assert_serving(site, name).await;
        sleep(CHECK_PERIOD).await;
    }
}

/// Checks that every node comes to know the era of the store for each table, and logs it once for
/// each era that it has seen.
async fn check_era(site: &NativeSite, era: u64) {
    for node in 0..NODES {
        for table in ["desired", "instances", "nodes"] {
            let mut eras = Vec::new();
            wait_until("the table is restored", async || {
                eras = restored_eras(&site.nodes[node].process.log(), table);
                eras.last() == Some(&era)
            })
            .await
            .unwrap();
            assert!(eras.is_sorted_by(|left, right| left < right), "{eras:?}");
        }
        assert_eq!(site.metric(node, "cuminlb_store_era").await, era);
        let log = site.nodes[node].process.log();
        let begins = log.matches("the store begins an era").count() as u64;
        assert!(begins <= era, "node {node}: {begins} lines");
    }
}

/// Returns the eras in which a table was restored, as a node has logged them.
fn restored_eras(log: &str, table: &str) -> Vec<u64> {
    let lines = log.lines();
    let lines = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let restored = lines.filter(|line| line["message"] == "store restored");
    let of_table = restored.filter(|line| line["table"] == table);
    of_table.filter_map(|line| line["era"].as_u64()).collect()
}

/// Writes rows that no node reads, so that the version rises.
fn raise_version(site: &NativeSite, writes: usize) {
    for _ in 0..writes {
        site.fleet.rows.put("other", "note", &json!({}));
    }
}

/// Takes the store away from all nodes, restores it from a copy, and gives it back to them.
async fn restore_store(site: &NativeSite, copy: &StoreCopy) {
    for node in 0..NODES {
        site.refuse_store(node, true);
    }
    sleep(AWAY).await;
    site.fleet.rows.restore(copy);
    for node in 0..NODES {
        site.refuse_store(node, false);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn catalogs_take_effect_after_the_store_was_restored() {
    let site = start_site().await;
    let callers = store_callers(&site).await;
    assert!((1..NODES).contains(&callers.len()), "{callers:?}");
    let copy = site.fleet.rows.copy();
    check_catalog(&site, 2, &["two"], CATALOG_BOUND).await;
    raise_version(&site, CATCH_UP_WRITES);
    let restore = async {
        restore_store(&site, &copy).await;
        // The operator has not written the lost catalog again, which stays active.
        sleep(Duration::from_secs(2)).await;
        site.put_catalog(2, &[route("two")]);
        sleep(Duration::from_secs(2)).await;
        check_catalog(&site, 3, &["two", "three"], CATALOG_BOUND).await;
    };
    tokio::select! {
        () = restore => {}
        () = keep_asserting(&site, "two") => {}
    }
    check_era(&site, 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn catalogs_take_effect_after_two_restorations_in_a_row() {
    let site = start_site().await;
    let copy = site.fleet.rows.copy();
    check_catalog(&site, 2, &["two"], CATALOG_BOUND).await;
    raise_version(&site, CATCH_UP_WRITES);
    restore_store(&site, &copy).await;
    check_catalog(&site, 3, &["two", "three"], CATALOG_BOUND + MAX_STRETCH).await;
    restore_store(&site, &copy).await;
    assert_serving(&site, "three").await;
    check_catalog(&site, 4, &["three", "four"], CATALOG_BOUND + MAX_STRETCH).await;
    check_catalog(&site, 5, &["four", "five"], CATALOG_BOUND).await;
    check_era(&site, 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_the_store_refuses_learns_of_the_restoration_from_others() {
    let site = start_site().await;
    let copy = site.fleet.rows.copy();
    check_catalog(&site, 2, &["two"], CATALOG_BOUND).await;
    raise_version(&site, CATCH_UP_WRITES);
    for refused in [0, NODES - 1] {
        restore_store(&site, &copy).await;
        site.refuse_store(refused, true);
        let name = format!("with-{refused}");
        let version = 3 + refused as u64;
        check_catalog(&site, version, &["two", &name], CATALOG_BOUND + MAX_STRETCH).await;
        site.refuse_store(refused, false);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_catalog_below_the_version_of_the_lost_writes_takes_effect() {
    let site = start_site().await;
    let copy = site.fleet.rows.copy();
    check_catalog(&site, 2, &["two"], CATALOG_BOUND).await;
    let lost_version = site.fleet.rows.version();
    for node in 0..NODES {
        site.refuse_store(node, true);
    }
    sleep(AWAY).await;
    site.fleet.rows.restore(&copy);
    site.put_catalog(3, &[route("three")]);
    // The version rises above that of the nodes, so that the store has the history since theirs.
    raise_version(&site, CATCH_UP_WRITES);
    assert!(site.fleet.rows.version() > lost_version);
    for node in 0..NODES {
        site.refuse_store(node, false);
    }
    for node in 0..NODES {
        wait_route(&site, node, "three").await;
    }
    check_catalog(&site, 4, &["three", "four"], CATALOG_BOUND).await;
}
