//! The task that follows one table of the store, while this node is to.

use std::time::Duration;

use cuminlb_catalog::{RowChangeSet, StoreError, StoreTable};
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use tokio::time::{Instant, sleep};

use crate::read_at_start::read_at_start;
use crate::{Follower, RowOrigin};

/// Fraction of the usual delay after a change of the instances on the leader, whose next order waits
/// for the change.
const LEADER_DELAY_DIVISOR: u32 = 6;

/// Delay after a failed call; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(350);

/// Maximum delay after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_400);

/// Follows one table of the store whenever this node has chosen to.
///
/// The rows of the nodes are read before that choice, because it depends on them. A node that starts
/// and follows a relay reads a table once if no peer provides it.
pub(crate) async fn follow_store(follower: &Follower, table: StoreTable) {
    let mut origin = follower.origin.subscribe();
    let mut has_read = read_at_start(follower, table).await;
    let mut is_history_gone = false;
    // Whether the history was gone in the call before the last full read, so that a further loss
    // shows that the read has not helped.
    let mut was_history_gone = false;
    let mut is_store_lost = false;
    let mut retry_delay = FIRST_RETRY_DELAY;
    loop {
        let is_wanted = |origin: &RowOrigin| match origin {
            RowOrigin::Undecided => table == StoreTable::Nodes,
            RowOrigin::Store => true,
            RowOrigin::Relay(_) => false,
        };
        if origin.wait_for(is_wanted).await.is_err() {
            return;
        }
        // A table that a relay has provided is followed from there on, and so is an empty table of a
        // new store, whose version is zero.
        let is_unread = !has_read && follower.replica.version(table).row == RowVersion(0);
        match read_changes(follower, table, is_unread || is_history_gone).await {
            Ok(changes) => {
                if is_store_lost {
                    info!(table:% = table, version:% = changes.version; "store regained");
                }
                has_read = true;
                is_store_lost = false;
                if !changes.is_whole {
                    was_history_gone = false;
                    retry_delay = FIRST_RETRY_DELAY;
                }
                is_history_gone = false;
                let is_unchanged = changes.rows.is_empty();
                debug!(
                    table:% = table, version:% = changes.version, rows = changes.rows.len();
                    "rows learnt"
                );
                let now = Instant::now();
                follower.replica.apply_store_changes(table, changes, now);
                if !is_unchanged {
                    sleep(batch_delay(follower, table)).await;
                }
            }
            Err(StoreError::HistoryGone) => {
                info!(
                    table:% = table;
                    "the store no longer has the history; reading the full table"
                );
                is_history_gone = true;
                if was_history_gone {
                    sleep(retry_delay).await;
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
                was_history_gone = true;
            }
            Err(error) => {
                follower.replica.record_store_failure(table, Instant::now());
                if !is_store_lost {
                    warn!(table:% = table; "store lost: {error}");
                }
                is_store_lost = true;
                sleep(retry_delay).await;
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }
}

async fn read_changes(
    follower: &Follower,
    table: StoreTable,
    needs_full_read: bool,
) -> Result<RowChangeSet, StoreError> {
    if needs_full_read {
        return follower.store.read_table(table).await;
    }
    let after = follower.replica.version(table);
    let wait_ms = follower.timing.store_wait_ms;
    follower.store.changes(table, after, wait_ms).await
}

/// Returns how long to wait after a change, so that the next call returns several at once.
fn batch_delay(follower: &Follower, table: StoreTable) -> Duration {
    let now = Instant::now();
    match table {
        StoreTable::Desired => Duration::ZERO,
        _ if !follower.peers.membership().is_leader() && !follower.is_relay(now) => {
            follower.timing.fallback_batch_delay
        }
        StoreTable::Instances if follower.peers.membership().is_leader() => {
            follower.timing.batch_delay / LEADER_DELAY_DIVISOR
        }
        StoreTable::Instances => follower.timing.batch_delay,
        StoreTable::Nodes => follower.timing.nodes_batch_delay,
    }
}
