//! The conversation with the peer that a node follows.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::StoreTable;
use cuminlb_peer::{RelayPeer, RelayedUpdate};
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep};

use crate::replica::UNKNOWN_AGE_MS;
use crate::{Follower, RelayLane, RowOrigin};

/// How often a node that follows the store checks whether it still should.
const ORIGIN_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// The same before this node has first chosen, when callers may already wait.
const UNDECIDED_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// How long after its start a node decides whom to follow even if its own row is not listed.
const MAX_UNDECIDED: Duration = Duration::from_millis(1_000);

/// Delay between two requests to peers while the store does not serve this node, once none of the first
/// [`MAX_QUICK_REQUESTS`] peers had recent rows.
const FALLBACK_PERIOD: Duration = Duration::from_millis(350);

/// Delay between the first of these requests. Peers that the store rejects too, and their followers, have no
/// recent rows, and several of them may be asked before one that has.
const QUICK_FALLBACK_PERIOD: Duration = Duration::from_millis(40);

/// Number of requests that are [`QUICK_FALLBACK_PERIOD`] apart.
const MAX_QUICK_REQUESTS: u32 = 8;

/// Probability that a peer that is asked in place of the store is a relay or the leader, which follow
/// the store.
const RELAY_PROBABILITY: f64 = 0.5;

/// Decides whom this node follows, and follows a relay while it is to.
pub(crate) async fn follow_relay(follower: &Follower) {
    let started_at = Instant::now();
    let mut responding: Option<NodeId> = None;
    let mut substitute: Option<NodeId> = None;
    let mut unsuccessful_requests = 0;
    loop {
        let origin = choose_origin(follower, started_at);
        follower.origin.send_if_modified(|known| {
            let is_changed = *known != origin;
            if is_changed {
                info!(origin:? = origin; "origin of rows chosen");
                *known = origin.clone();
            }
            is_changed
        });
        match origin {
            RowOrigin::Relay(node) => match follower.peers.link(&node, RelayLane::News) {
                Some(link) => {
                    // A node that has not responded yet may be silent too: it is not given the time
                    // to wait for a change.
                    let is_proved = responding.as_ref() == Some(&node);
                    let wait_ms = if is_proved {
                        follower.timing.peer_wait_ms
                    } else {
                        Millis(0)
                    };
                    let has_responded = follow_once(follower, &node, link, wait_ms).await;
                    responding = has_responded.then_some(node);
                }
                None => sleep(ORIGIN_CHECK_PERIOD).await,
            },
            RowOrigin::Undecided | RowOrigin::Store if follower.replica.has_failed_table() => {
                substitute = ask_substitute(follower, substitute.take()).await;
                if substitute.is_some() {
                    unsuccessful_requests = 0;
                    continue;
                }
                unsuccessful_requests += 1;
                sleep(if unsuccessful_requests < MAX_QUICK_REQUESTS {
                    QUICK_FALLBACK_PERIOD
                } else {
                    FALLBACK_PERIOD
                })
                .await;
            }
            RowOrigin::Undecided => sleep(UNDECIDED_CHECK_PERIOD).await,
            RowOrigin::Store => sleep(ORIGIN_CHECK_PERIOD).await,
        }
    }
}

fn choose_origin(follower: &Follower, started_at: Instant) -> RowOrigin {
    let now = Instant::now();
    let membership = follower.peers.membership();
    let is_listed = membership.nodes.contains_key(&membership.own_id);
    if !is_listed && now.duration_since(started_at) < MAX_UNDECIDED {
        return RowOrigin::Undecided;
    }
    let mut failed_peers = follower.failed_peers();
    let mut ranking = follower.ranking();
    if ranking.update(&membership) {
        failed_peers.retain(|node| membership.nodes.contains_key(node));
    }
    RowOrigin::choose(&membership, &ranking, &failed_peers, now)
}

/// Waits for changes from a relay; returns whether it responded. How recent its rows are counts only if
/// it had time to wait for newer ones.
async fn follow_once(
    follower: &Follower,
    node: &NodeId,
    link: Arc<dyn RelayPeer>,
    wait_ms: Millis,
) -> bool {
    let cursors = follower.replica.cursors();
    match link.await_update(cursors, wait_ms).await {
        Ok(update) => {
            let (has_rows, age_ms) = apply(follower, node, update);
            if age_ms <= follower.timing.max_peer_age_ms {
                follower.failed_peers().record_success(node);
            } else if wait_ms > Millis(0) {
                info!(node:% = node, heard_ms = age_ms.get(); "the peer's news are too old");
                follower
                    .failed_peers()
                    .record_failure(node.clone(), Instant::now());
            }
            if has_rows {
                sleep(follower.timing.batch_delay).await;
            }
            true
        }
        Err(error) => {
            warn!(node:% = node; "peer lost: {error}");
            follower
                .failed_peers()
                .record_failure(node.clone(), Instant::now());
            false
        }
    }
}

/// Asks a peer for changes, because the store does not serve this node: the one that had recent rows
/// before, or another one. Returns it if its rows are recent.
async fn ask_substitute(follower: &Follower, known: Option<NodeId>) -> Option<NodeId> {
    let timing = &follower.timing;
    let link = known.and_then(|node| {
        let link = follower.peers.link(&node, RelayLane::News)?;
        Some((node, link, timing.peer_wait_ms))
    });
    let (node, link, wait_ms) = match link {
        Some(known) => known,
        None => {
            let (node, link) = choose_substitute(follower)?;
            (node, link, Millis(0))
        }
    };
    follower.replica.record_peer_request();
    let cursors = follower.replica.cursors();
    match link.await_update(cursors, wait_ms).await {
        Ok(update) => {
            let (has_rows, age_ms) = apply(follower, &node, update);
            if age_ms > timing.max_substitute_age_ms {
                debug!(node:% = node, heard_ms = age_ms.get(); "the peer has no recent rows");
                return None;
            }
            // A peer that responds to the first request at once is not asked again without a rest.
            if has_rows || wait_ms == Millis(0) {
                sleep(timing.batch_delay).await;
            }
            Some(node)
        }
        Err(error) => {
            debug!(node:% = node; "failed to fetch rows: {error}");
            follower.failed_peers().record_failure(node, Instant::now());
            None
        }
    }
}

/// Chooses another relay or the leader, which follow the store, or any other node.
fn choose_substitute(follower: &Follower) -> Option<(NodeId, Arc<dyn RelayPeer>)> {
    if !rand::random_bool(RELAY_PROBABILITY) {
        return follower.random_peer(RelayLane::News);
    }
    let membership = follower.peers.membership();
    let mut candidates = follower.other_relays(Instant::now());
    let leader = membership.leader.filter(|id| *id != membership.own_id);
    candidates.extend(leader);
    let Some(node) = candidates.into_iter().choose(&mut rand::rng()) else {
        return follower.random_peer(RelayLane::News);
    };
    let link = follower.peers.link(&node, RelayLane::News)?;
    Some((node, link))
}

/// Applies what a peer relayed; returns whether it has rows of the instances, whose changes come in
/// bursts, and the age of its oldest table.
fn apply(follower: &Follower, node: &NodeId, update: RelayedUpdate) -> (bool, Millis) {
    let counts = update.tables.iter().map(|table| table.rows.len());
    let rows: usize = counts.sum();
    let has_rows = update
        .tables
        .iter()
        .any(|table| table.table == StoreTable::Instances && !table.rows.is_empty());
    let ages = update.tables.iter();
    let ages: Vec<_> = ages
        .map(|table| (table.table, table.version.era, table.heard_ms))
        .collect();
    follower.replica.apply_update(update, node, Instant::now());
    let ages = ages.into_iter().map(|(table, era, heard_ms)| {
        let is_used = follower.replica.version(table).era == era;
        if is_used { heard_ms } else { UNKNOWN_AGE_MS }
    });
    let heard_ms = ages.max().unwrap_or_default();
    debug!(node:% = node, rows = rows, heard_ms:% = heard_ms; "rows learnt from a peer");
    (has_rows, heard_ms)
}
