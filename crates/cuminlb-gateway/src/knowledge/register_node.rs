//! The task that registers this node in the store.

use std::time::Duration;

use cuminlb_catalog::{StoreTable, WriteOutcome};
use cuminlb_replica::{NodeCapacity, NodeRow};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Writes the row of this node, so that the other nodes find it.
pub(crate) async fn register_node(gateway: &Gateway, stop: CancellationToken) {
    let settings = &gateway.settings;
    let row = NodeRow {
        peer: settings.peer,
        zone: settings.zone.clone(),
        incarnation: Incarnation(UnixMillis::now().get()),
        capacity: NodeCapacity {
            link_mbps: settings.machine.link_mbps,
            cpu_cores: settings.machine.cpu_cores,
        },
    };
    let (Some(key), Ok(value)) = (NodeRow::key(&settings.id), serde_json::to_vec(&row)) else {
        warn!("failed to encode the row of this node");
        return;
    };
    let mut expected = RowVersion(0);
    loop {
        let store = &gateway.edges.store;
        match store.write(StoreTable::Nodes, &key, expected, &value).await {
            Ok(WriteOutcome::Written { version }) => {
                info!(row_version:% = version; "node listed");
                return;
            }
            Ok(WriteOutcome::Conflict { found }) => {
                let is_own = found.as_ref().and_then(|row| row.value.as_deref()) == Some(&value);
                if is_own {
                    return;
                }
                expected = found.map(|row| row.version).unwrap_or_default();
                continue;
            }
            Err(error) => warn!("failed to register this node; retrying: {error}"),
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(RETRY_DELAY) => {}
        }
    }
}
