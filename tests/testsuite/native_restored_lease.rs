//! Tests of leading when the store is restored from a copy that lacks the latest writes.

use std::time::Duration;

use cuminlb_test_support::wait_until;
use http::StatusCode;
use serde_json::{Value, json};

use crate::native_site::NativeSite;

/// The processing time of a plain request in tests that don't depend on it.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// The number of nodes.
const NODES: usize = 3;

/// The number of engines: enough for a spare each time that a group loses its head.
const ENGINES: usize = 8;

/// How long the store serves no node before it comes back from the copy.
const AWAY: Duration = Duration::from_millis(1_200);

/// The number of writes that the restored store lacks.
const LOST_WRITES: usize = 400;

fn lease(site: &NativeSite) -> Value {
    site.fleet.rows.get("cuminlb", "lease/leader").unwrap()
}

/// Returns the number of the leader as the store has it.
fn leader(site: &NativeSite) -> usize {
    let lease = lease(site);
    let name = lease["holder"].as_str().unwrap();
    name[1..].parse::<usize>().unwrap() - 1
}

/// Waits until a leader has written its lease since the store was restored.
async fn wait_new_era(site: &NativeSite) {
    wait_until("a leader writes its lease in the new era", async || {
        lease(site)["era"] == json!(1)
    })
    .await
    .unwrap();
}

/// Kills the leader, and waits until another node leads.
async fn replace_leader(site: &mut NativeSite) {
    let old = leader(site);
    site.nodes[old].process.kill().await;
    wait_until("another node leads", async || leader(site) != old)
        .await
        .unwrap();
    site.restart_node(old);
}

/// Returns the serving group with the highest epoch: its head and the epoch.
fn latest_group(site: &NativeSite) -> (String, u64) {
    let groups = site.engines().filter_map(|engine| {
        let seat = engine.seat()?;
        let is_serving = engine.is_alive() && seat.2 == "open";
        is_serving.then(|| (engine.id().to_owned(), seat.1))
    });
    groups.max_by_key(|(_, epoch)| *epoch).unwrap()
}

/// Takes the head of the group with the highest epoch away, and waits until a later group serves.
/// Requests make the nodes notice.
async fn lose_head(site: &NativeSite) {
    let (head, epoch) = latest_group(site);
    site.fleet.engine(&head).unwrap().power_off();
    wait_until("a later group serves", async || {
        let response = site.stream(leader(site), "after", "5").await;
        let is_served = response.is_ok_and(|response| response.status == StatusCode::OK);
        is_served && latest_group(site).1 > epoch
    })
    .await
    .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_goes_on_leading_when_the_store_is_restored() {
    let site = NativeSite::start(NODES, ENGINES, SHORT_WORK).await;
    site.wait_serving().await;
    let copy = site.fleet.rows.copy();
    let before = lease(&site);
    for _ in 0..LOST_WRITES {
        site.fleet.rows.put("other", "note", &json!({}));
    }
    site.restore_store(&copy, Duration::ZERO).await;
    wait_new_era(&site).await;
    let after = lease(&site);
    assert_eq!(after["holder"], before["holder"]);
    assert_eq!(after["fencing"], before["fencing"]);
    lose_head(&site).await;
    site.assert_no_violations();
}

#[tokio::test(flavor = "multi_thread")]
async fn groups_are_formed_by_a_leader_that_follows_a_restoration() {
    let mut site = NativeSite::start(NODES, ENGINES, SHORT_WORK).await;
    site.wait_serving().await;
    let copy = site.fleet.rows.copy();
    for _ in 0..LOST_WRITES {
        site.fleet.rows.put("other", "note", &json!({}));
    }
    // The epochs of this leader are based on a version that the copy has not given out.
    replace_leader(&mut site).await;
    lose_head(&site).await;
    site.restore_store(&copy, AWAY).await;
    wait_new_era(&site).await;
    replace_leader(&mut site).await;
    lose_head(&site).await;
    site.assert_no_violations();
}
