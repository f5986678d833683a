//! The one read of a table by a node that has just started and follows a relay.

use std::time::Duration;

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::{Instant, sleep};

use crate::{Follower, RowOrigin};

/// How long after it has chosen a relay a node waits for a table before it reads it from the store. A
/// relay that runs responds within this time. One that has not started costs the whole timeout of a
/// connection, 0.4 s.
const START_READ_DELAY: Duration = Duration::from_millis(120);

/// Reads a table from the store if this node has chosen to follow a relay and no peer provides or
/// announces the table in time; returns whether the read succeeded.
///
/// It is not repeated after a failure, because the relay or another peer may still provide the table.
pub(crate) async fn read_at_start(follower: &Follower, table: StoreTable) -> bool {
    let mut origin = follower.origin.subscribe();
    // The rows of the nodes are followed before the choice, because it depends on them.
    let is_chosen =
        |origin: &RowOrigin| *origin != RowOrigin::Undecided || table == StoreTable::Nodes;
    if origin.wait_for(is_chosen).await.is_err() {
        return false;
    }
    let is_relay = |origin: &RowOrigin| matches!(origin, RowOrigin::Relay(_));
    tokio::select! {
        // The table is followed from the beginning if the origin is the store.
        _ = origin.wait_for(|origin| !is_relay(origin)) => return false,
        () = sleep(START_READ_DELAY) => {}
    }
    if follower.replica.version(table).row > RowVersion(0) {
        return false;
    }
    match follower.store.read_table(table).await {
        Ok(changes) => {
            info!(
                table:% = table, version:% = changes.version, rows = changes.rows.len();
                "table read from the store, because no peer has provided it since the start"
            );
            let now = Instant::now();
            follower.replica.apply_store_changes(table, changes, now);
            true
        }
        Err(error) => {
            warn!(table:% = table; "failed to read a table at the start: {error}");
            false
        }
    }
}
