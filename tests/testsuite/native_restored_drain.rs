//! An instance that begins to drain while the store comes back from a copy: nodes get its entry with
//! the whole restored table, not as a change.

use std::time::Duration;

use http::Method;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::native_site::{LOOKUP_PATH, NativeSite};

/// The processing time of a plain request.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The number of nodes.
const NODES: usize = 2;

/// How long the store serves no node before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(1_200);

/// The time in which nodes learn of the restoration and of the drain.
const NOTICE: Duration = Duration::from_millis(2_500);

/// The time for which the test observes where requests go.
const OBSERVED: Duration = Duration::from_millis(2_000);

/// Lets an instance begin to drain in a store that has just been restored, with an entry that counts
/// `orders` orders; returns the workers that run requests once the nodes must know of it.
async fn drain_in_restored_store(orders: u64) -> Vec<String> {
    let site = NativeSite::start(NODES, 2, SHORT_WORK).await;
    site.wait_serving().await;
    let rows = &site.fleet.rows;
    let copy = rows.copy();
    for node in 0..NODES {
        site.refuse_store(node, true);
    }
    sleep(AWAY).await;
    let mut entry = rows.get("servers", "p0").unwrap();
    entry["state"] = json!("draining");
    entry["sequence"] = json!(orders);
    rows.restore(&copy);
    rows.put("servers", "p0", &entry);
    for node in 0..NODES {
        site.refuse_store(node, false);
    }
    sleep(NOTICE).await;
    let start = Instant::now();
    let mut workers = Vec::new();
    while start.elapsed() < OBSERVED {
        for node in 0..NODES {
            let id = format!("{node}-{}", start.elapsed().as_micros());
            let sent = site.send(node, Method::GET, LOOKUP_PATH, &id, &[], "");
            sent.await.unwrap();
            workers.extend(site.fleet.runs.workers_of(&id));
        }
    }
    workers.sort();
    workers.dedup();
    workers
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_drains_after_an_order_gets_nothing() {
    assert_eq!(drain_in_restored_store(2).await, ["p1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_drains_without_a_further_order_gets_nothing() {
    assert_eq!(drain_in_restored_store(1).await, ["p1"]);
}
