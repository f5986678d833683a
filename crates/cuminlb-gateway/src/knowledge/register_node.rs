//! The task that registers this node in the store.

use std::time::Duration;

use cuminlb_catalog::{StoreTable, WriteOutcome};
use cuminlb_replica::{NodeCapacity, NodeRow};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;

/// How often the task checks whether the nodes have been read.
const READ_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// How long the task waits for the nodes to be read.
const MAX_READ_WAIT: Duration = Duration::from_millis(500);

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// How often a listed node checks that it is still listed.
const LISTED_CHECK_PERIOD: Duration = Duration::from_millis(2_000);

/// Keeps this node listed in the store, so that the other nodes find it, until `stop` is cancelled.
pub(crate) async fn register_node(gateway: &Gateway, stop: CancellationToken) {
    let settings = &gateway.settings;
    let row = NodeRow {
        peer: settings.peer,
        forwarding: settings.forwarding,
        zone: settings.zone.clone(),
        capacity: NodeCapacity {
            link_mbps: settings.machine.link_mbps,
            cpu_cores: settings.machine.cpu_cores,
        },
    };
    let (Some(key), Ok(value)) = (NodeRow::key(&settings.id), serde_json::to_vec(&row)) else {
        warn!("failed to encode the row of this node");
        return;
    };
    let mut restorations = gateway.knowledge.restorations();
    let keep_listed = async {
        wait_for_nodes(gateway).await;
        loop {
            restorations.mark_unchanged();
            let known = gateway.replica.row(StoreTable::Nodes, &key);
            let is_listed = known.is_some_and(|known| known.value.as_ref() == Some(&value));
            // A row that was just written takes a while to come back with the other rows.
            if is_listed || write_row(gateway, &key, &value).await {
                // A restored store may lack the row.
                let _ = timeout(LISTED_CHECK_PERIOD, restorations.changed()).await;
            } else {
                sleep(RETRY_DELAY).await;
            }
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = keep_listed => {}
    }
}

/// Waits until the nodes have been read, because a row of an earlier start need not be written
/// again.
async fn wait_for_nodes(gateway: &Gateway) {
    let started_at = Instant::now();
    let has_read = || {
        let age_ms = gateway.replica.heard_age(StoreTable::Nodes, Instant::now());
        age_ms.is_some()
    };
    while !has_read() && started_at.elapsed() < MAX_READ_WAIT {
        sleep(READ_CHECK_PERIOD).await;
    }
}

/// Writes the row of this node; returns whether it stands in the store.
async fn write_row(gateway: &Gateway, key: &RowKey, value: &[u8]) -> bool {
    let known = gateway.replica.row(StoreTable::Nodes, key);
    let mut expected = known.map(|row| row.version).unwrap_or_default();
    loop {
        let store = &gateway.edges.store;
        match store.write(StoreTable::Nodes, key, expected, value).await {
            Ok(WriteOutcome::Written { version }) => {
                info!(row_version:% = version; "node listed");
                return true;
            }
            Ok(WriteOutcome::Conflict { found }) => {
                let is_own = found.as_ref().and_then(|row| row.value.as_deref()) == Some(value);
                if is_own {
                    return true;
                }
                expected = found.map(|row| row.version).unwrap_or_default();
            }
            Err(error) => {
                warn!("failed to register this node; retrying: {error}");
                return false;
            }
        }
    }
}
