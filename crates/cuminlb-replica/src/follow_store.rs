//! The task that follows one table of the store, or a peer in its place.

use std::time::Duration;

use cuminlb_catalog::{RowChangeSet, StoreError, StoreTable};
use cuminlb_peer::{RelayLink, RelayedRows};
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use rand::seq::IndexedRandom;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::RowSource;
use super::failed_peers::FailedPeers;
use super::row_origin::RowOrigin;
use crate::gateway::Gateway;
use crate::leading::current_leader;
use crate::metrics::StoreLabels;

/// Maximum time that a call to the store waits for a change. It limits how late a dead connection
/// is noticed.
const STORE_WAIT_MS: Millis = Millis(800);

/// Maximum time that a call to a peer waits for a change.
const PEER_WAIT_MS: Millis = Millis(400);

/// Age from which on the rows of a peer are too old to rely on.
const MAX_PEER_AGE_MS: Millis = Millis(1_100);

/// Delay after a change of the instances, because changes come in bursts.
const INSTANCES_BATCH_DELAY: Duration = Duration::from_millis(120);

/// The same delay on the leader, whose next order waits for the change.
const LEADER_BATCH_DELAY: Duration = Duration::from_millis(20);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(350);

/// Follows one table of the store until `stop` is cancelled; requests rows from a peer while the
/// store does not respond.
pub(crate) async fn follow_table(gateway: &Gateway, table: StoreTable, stop: CancellationToken) {
    let follow = async {
        let mut needs_full_read = true;
        let mut is_store_lost = false;
        let mut failed_peers = FailedPeers::default();
        loop {
            let now = Instant::now();
            let origin = RowOrigin::choose(gateway, &failed_peers, now);
            if let (RowOrigin::Peer(node, link), false) = (origin, needs_full_read || is_store_lost)
            {
                if !follow_peer(gateway, table, &node, &link).await {
                    failed_peers.record_failure(node, Instant::now());
                }
                continue;
            }
            let result = read_changes(gateway, table, needs_full_read).await;
            let labels = StoreLabels {
                table: table.to_string(),
                outcome: if result.is_ok() { "ok" } else { "failed" }.to_owned(),
            };
            gateway.metrics.store_calls.get_or_create(&labels).inc();
            match result {
                Ok(changes) => {
                    if is_store_lost {
                        info!(table:% = table, version:% = changes.version; "store regained");
                    }
                    is_store_lost = false;
                    needs_full_read = false;
                    let is_unchanged = changes.rows.is_empty();
                    apply_store_rows(gateway, table, changes);
                    if table == StoreTable::Instances && !is_unchanged {
                        let leader = current_leader(&gateway.knowledge);
                        let is_leader = leader.as_ref() == Some(&gateway.settings.id);
                        let delay = if is_leader {
                            LEADER_BATCH_DELAY
                        } else {
                            INSTANCES_BATCH_DELAY
                        };
                        tokio::time::sleep(delay).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    info!(
                        table:% = table;
                        "the store no longer has the history; reading the full table"
                    );
                    needs_full_read = true;
                }
                Err(error) => {
                    gateway
                        .knowledge
                        .record_store_failure(table, Instant::now());
                    if !is_store_lost {
                        warn!(table:% = table; "store lost: {error}");
                    }
                    is_store_lost = true;
                    fetch_from_peer(gateway, table).await;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follow => {}
    }
}

/// Waits for changes from a peer that follows the store; returns whether its rows are recent
/// enough.
async fn follow_peer(
    gateway: &Gateway,
    table: StoreTable,
    node: &NodeId,
    link: &RelayLink,
) -> bool {
    let after = gateway.knowledge.version(table);
    match link.await_rows(table, after, PEER_WAIT_MS).await {
        Ok(relayed) => {
            let is_recent = relayed.heard_ms <= MAX_PEER_AGE_MS;
            if !is_recent {
                info!(
                    table:% = table, node:% = node, heard_ms = relayed.heard_ms.get();
                    "the peer's news are too old"
                );
            }
            apply_peer_rows(gateway, table, relayed);
            is_recent
        }
        Err(error) => {
            warn!(table:% = table, node:% = node; "peer lost: {error}");
            false
        }
    }
}

fn apply_peer_rows(gateway: &Gateway, table: StoreTable, relayed: RelayedRows) {
    let knowledge = &gateway.knowledge;
    let rows = relayed.changes.rows.len();
    knowledge.apply_changes(table, relayed.changes, RowSource::Peer, Instant::now());
    debug!(table:% = table, rows = rows, heard_ms:% = relayed.heard_ms; "rows learnt from a peer");
}

async fn read_changes(
    gateway: &Gateway,
    table: StoreTable,
    needs_full_read: bool,
) -> Result<RowChangeSet, StoreError> {
    let store = &gateway.edges.store;
    if needs_full_read {
        return store.read_table(table).await;
    }
    let after = gateway.knowledge.version(table);
    store.changes(table, after, STORE_WAIT_MS).await
}

/// Applies rows that were read from the store.
fn apply_store_rows(gateway: &Gateway, table: StoreTable, changes: RowChangeSet) {
    let version = changes.version;
    let knowledge = &gateway.knowledge;
    let new_rows = knowledge.apply_changes(table, changes, RowSource::Store, Instant::now());
    debug!(table:% = table, version:% = version, rows = new_rows.len(); "rows learnt");
}

/// Requests the rows of a table from a random peer.
async fn fetch_from_peer(gateway: &Gateway, table: StoreTable) {
    let peers = gateway.peers.others(&gateway.knowledge.directory());
    let Some((node, link)) = peers.choose(&mut rand::rng()).cloned() else {
        return;
    };
    gateway.metrics.peer_fetches.inc();
    let after = gateway.knowledge.version(table);
    match link.rows_since(table, after).await {
        Ok(relayed) => {
            debug!(table:% = table, node:% = node; "peer asked");
            apply_peer_rows(gateway, table, relayed);
        }
        Err(error) => debug!(table:% = table, node:% = node; "failed to fetch rows: {error}"),
    }
}
