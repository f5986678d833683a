//! [`follow_table`].

use std::time::Duration;

use cuminlb_catalog::{RowChangeSet, StoreError, StoreTable};
use cuminlb_peer::{RelayLink, RelayedRows};
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use rand::seq::IndexedRandom;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::RowSource;
use super::feed_peers::FeedPeers;
use super::row_origin::RowOrigin;
use crate::gateway::Gateway;
use crate::leading::current_leader;
use crate::metrics::StoreLabels;

/// The longest time that a call waits for a change: it bounds how late a silent connection shows.
const FEED_WAIT_MS: Millis = Millis(800);

/// The same for a call to a peer.
const PEER_WAIT_MS: Millis = Millis(400);

/// The age from which on a peer's news of the store are too old to rely on.
const MAX_PEER_AGE_MS: Millis = Millis(1_100);

/// The pause after a change of the instances, as changes come in bursts.
const INSTANCES_PAUSE: Duration = Duration::from_millis(120);

/// That pause at the leader, whose next order waits for the change.
const LEADER_PAUSE: Duration = Duration::from_millis(20);

/// The pause after a call that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(350);

/// Follows one table of the store until `stop` is cancelled; while the store gives no answer, asks
/// a peer.
pub(crate) async fn follow_table(gateway: &Gateway, table: StoreTable, stop: CancellationToken) {
    let follow = async {
        let mut must_read_whole = true;
        let mut is_lost = false;
        let mut failed_peers = FeedPeers::default();
        loop {
            let now = Instant::now();
            let origin = RowOrigin::choose(gateway, &failed_peers, now);
            if let (RowOrigin::Peer(node, link), false) = (origin, must_read_whole || is_lost) {
                if !follow_peer(gateway, table, &node, &link).await {
                    failed_peers.note_failure(node, Instant::now());
                }
                continue;
            }
            let heard = heard(gateway, table, must_read_whole).await;
            let labels = StoreLabels {
                table: table.to_string(),
                outcome: if heard.is_ok() { "ok" } else { "failed" }.to_owned(),
            };
            gateway.metrics.store_calls.get_or_create(&labels).inc();
            match heard {
                Ok(changes) => {
                    if is_lost {
                        info!(table:% = table, version:% = changes.version; "store regained");
                    }
                    is_lost = false;
                    must_read_whole = false;
                    let is_quiet = changes.rows.is_empty();
                    take_in(gateway, table, changes);
                    if table == StoreTable::Instances && !is_quiet {
                        let leads = current_leader(&gateway.knowledge);
                        let leads = leads.as_ref() == Some(&gateway.settings.id);
                        let pause = if leads { LEADER_PAUSE } else { INSTANCES_PAUSE };
                        tokio::time::sleep(pause).await;
                    }
                }
                Err(StoreError::HistoryGone) => {
                    info!(table:% = table; "the store's history is gone, the table is read whole");
                    must_read_whole = true;
                }
                Err(error) => {
                    gateway.knowledge.note_store_trouble(table, Instant::now());
                    if !is_lost {
                        warn!(table:% = table; "store lost: {error}");
                    }
                    is_lost = true;
                    ask_peer(gateway, table).await;
                    tokio::time::sleep(FAILED_PAUSE).await;
                }
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = follow => {}
    }
}

/// Hears from a peer that follows the store; returns whether its news are new enough.
async fn follow_peer(
    gateway: &Gateway,
    table: StoreTable,
    node: &NodeId,
    link: &RelayLink,
) -> bool {
    let after = gateway.knowledge.version(table);
    match link.await_rows(table, after, PEER_WAIT_MS).await {
        Ok(relayed) => {
            let is_fresh = relayed.heard_ms <= MAX_PEER_AGE_MS;
            if !is_fresh {
                info!(
                    table:% = table, node:% = node, heard_ms = relayed.heard_ms.get();
                    "the peer's news are too old"
                );
            }
            learn_from_peer(gateway, table, relayed);
            is_fresh
        }
        Err(error) => {
            warn!(table:% = table, node:% = node; "peer lost: {error}");
            false
        }
    }
}

fn learn_from_peer(gateway: &Gateway, table: StoreTable, relayed: RelayedRows) {
    let knowledge = &gateway.knowledge;
    let rows = relayed.changes.rows.len();
    knowledge.learn(table, relayed.changes, RowSource::Peer, Instant::now());
    debug!(table:% = table, rows = rows, heard_ms:% = relayed.heard_ms; "rows learnt from a peer");
}

async fn heard(
    gateway: &Gateway,
    table: StoreTable,
    must_read_whole: bool,
) -> Result<RowChangeSet, StoreError> {
    let store = &gateway.edges.store;
    if must_read_whole {
        return store.read_table(table).await;
    }
    let after = gateway.knowledge.version(table);
    store.changes(table, after, FEED_WAIT_MS).await
}

/// Takes rows in that the store gave.
fn take_in(gateway: &Gateway, table: StoreTable, changes: RowChangeSet) {
    let version = changes.version;
    let knowledge = &gateway.knowledge;
    let fresh = knowledge.learn(table, changes, RowSource::Store, Instant::now());
    debug!(table:% = table, version:% = version, rows = fresh.len(); "rows learnt");
}

/// Asks one of the peers for what it knows of a table.
async fn ask_peer(gateway: &Gateway, table: StoreTable) {
    let peers = gateway.peers.others(&gateway.knowledge.directory());
    let Some((node, link)) = peers.choose(&mut rand::rng()).cloned() else {
        return;
    };
    gateway.metrics.peer_asks.inc();
    let after = gateway.knowledge.version(table);
    match link.rows_since(table, after).await {
        Ok(relayed) => {
            debug!(table:% = table, node:% = node; "peer asked");
            learn_from_peer(gateway, table, relayed);
        }
        Err(error) => debug!(table:% = table, node:% = node; "peer gave no rows: {error}"),
    }
}
