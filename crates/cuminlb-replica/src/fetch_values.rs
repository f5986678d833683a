//! The task that fetches large values that peers have announced.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::SharedRow;
use cuminlb_peer::{ChunkRequest, RelayPeer};
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use tokio::time::{Instant, sleep};

use crate::{FollowTiming, Follower, PendingValue, RelayLane, RowSource, ValueAssembly};

/// Length of the missing chunks up to which they are requested from peers. Above it the row is read
/// from the store, whose link is wider than those of the nodes.
const MAX_RELAYED_BYTES: ByteCount = ByteCount(49_152);

/// Length of the chunks of one request to a peer.
const REQUEST_BYTES: ByteCount = ByteCount(32_768);

/// Timeout of reading a short row from the store.
const STORE_TIMEOUT_MS: Millis = Millis(700);

/// How long the store is not asked for a value after it did not provide one.
const STORE_AVOIDANCE: Duration = Duration::from_millis(2_000);

/// Delay before the first further request after a peer had none of the chunks. The peer may have a newer
/// version, which it announces at once.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(30);

/// Delay before another peer is asked after several that had none of the chunks.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Number of requests in a row without a chunk after which the store is asked for a short rest.
const MAX_FAILED_REQUESTS: u32 = 2;

/// How long newer versions may supersede the transfers of a row before it is read from the store. Peers
/// provide only the chunks of the version that they have, so that changes in quick succession may
/// supersede each transfer.
const MAX_SUPERSEDED: Duration = Duration::from_millis(300);

/// Probability that a request for chunks goes to a random node.
const OTHER_SOURCE_PROBABILITY: f64 = 0.4;

/// The transfer of one value.
struct Transfer {
    pending: PendingValue,
    assembly: ValueAssembly,
    /// The node that is asked for chunks.
    source: NodeId,
    /// The number of latest requests that brought no chunk.
    failed_requests: u32,
    started_at: Instant,
    /// When the first superseded transfer of the row started, if newer versions have superseded every
    /// transfer since a version last arrived.
    superseded_since: Option<Instant>,
}

impl Transfer {
    /// Returns whether the row should rather be read from the store.
    fn needs_store(&self) -> bool {
        let is_long = self.assembly.missing_bytes() > MAX_RELAYED_BYTES;
        let is_superseded = self
            .superseded_since
            .is_some_and(|at| at.elapsed() > MAX_SUPERSEDED);
        is_long || is_superseded || self.failed_requests >= MAX_FAILED_REQUESTS
    }
}

/// Fetches announced values until the future is dropped.
pub(crate) async fn fetch_values(follower: &Follower) {
    let mut store_failed_at: Option<Instant> = None;
    let mut transfer: Option<Transfer> = None;
    loop {
        let pending = follower.replica.next_pending().await;
        let mut current = match transfer.take() {
            Some(current) if current.pending == pending => current,
            previous => start_transfer(follower, pending, previous),
        };
        let is_store_usable = store_failed_at.is_none_or(|at| at.elapsed() > STORE_AVOIDANCE);
        // A call to a store that does not respond would delay the requests to peers by its timeout.
        let is_rejected = follower.follows_store() && follower.replica.has_failed_table();
        if is_store_usable && !is_rejected && current.needs_store() {
            if read_from_store(follower, &current.pending).await {
                continue;
            }
            store_failed_at = Some(Instant::now());
        }
        if request_chunks(follower, &mut current).await {
            current.failed_requests = 0;
        } else {
            current.failed_requests += 1;
            let is_first = current.failed_requests < MAX_FAILED_REQUESTS;
            sleep(if is_first {
                FIRST_RETRY_DELAY
            } else {
                RETRY_DELAY
            })
            .await;
        }
        finish(follower, &current);
        transfer = Some(current);
    }
}

/// Starts the transfer of a value with the chunks that have arrived before.
fn start_transfer(
    follower: &Follower,
    pending: PendingValue,
    previous: Option<Transfer>,
) -> Transfer {
    let known = follower.replica.row(pending.table, &pending.key);
    let known = known.as_ref().and_then(|row| row.value.as_deref());
    let mut assembly = ValueAssembly::new(pending.list.clone(), known);
    let superseded = previous.as_ref().filter(|it| {
        let is_same_row = it.pending.table == pending.table && it.pending.key == pending.key;
        is_same_row && it.assembly.missing_bytes() > ByteCount(0)
    });
    let superseded_since = superseded.map(|it| it.superseded_since.unwrap_or(it.started_at));
    if let Some(previous) = previous {
        assembly.adopt(previous.assembly);
    }
    info!(
        table:% = pending.table, key:% = pending.key, row_version:% = pending.version,
        length_bytes = pending.list.length_bytes().get(),
        missing_bytes = assembly.missing_bytes().get();
        "large value announced"
    );
    Transfer {
        source: pending.announced_by.clone(),
        pending,
        assembly,
        failed_requests: 0,
        started_at: Instant::now(),
        superseded_since,
    }
}

/// Reads the row of a value from the store; returns whether it succeeded.
async fn read_from_store(follower: &Follower, pending: &PendingValue) -> bool {
    let length = pending.list.length_bytes();
    let timeout_ms = STORE_TIMEOUT_MS + FollowTiming::transfer_time_ms(length);
    let (table, key) = (pending.table, &pending.key);
    let row = match follower.store.read_row(table, key, timeout_ms).await {
        Ok(Some(row)) => row,
        Ok(None) => return false,
        Err(error) => {
            warn!(table:% = table, key:% = key; "failed to read a large value: {error}");
            return false;
        }
    };
    // The restored store gives out versions again, which say nothing about a value of another era.
    if row.version.era != pending.version.era || row.version < pending.version {
        return false;
    }
    let now = Instant::now();
    follower
        .replica
        .apply_row(table, row, RowSource::Store, now);
    true
}

/// Requests missing chunks from a peer; returns whether it provided any.
async fn request_chunks(follower: &Follower, transfer: &mut Transfer) -> bool {
    let Some((node, link)) = choose_peer(follower, transfer) else {
        return false;
    };
    let request = ChunkRequest {
        table: transfer.pending.table,
        key: transfer.pending.key.clone(),
        chunks: transfer.assembly.missing(REQUEST_BYTES),
    };
    match link.read_chunks(request).await {
        Ok(chunks) => {
            let added = chunks
                .into_iter()
                .filter_map(|chunk| transfer.assembly.add(chunk).then_some(()));
            let added = added.count();
            debug!(node:% = node, chunks = added; "chunks of a large value learnt from a peer");
            if added > 0 {
                transfer.source = node;
            }
            added > 0
        }
        Err(error) => {
            debug!(node:% = node; "failed to fetch chunks: {error}");
            false
        }
    }
}

/// Chooses the node that provided chunks before, and sometimes another one, which spreads a longer
/// transfer over the nodes that have the value.
fn choose_peer(follower: &Follower, transfer: &Transfer) -> Option<(NodeId, Arc<dyn RelayPeer>)> {
    let is_short = transfer.assembly.missing_bytes() <= MAX_RELAYED_BYTES;
    let asks_another = transfer.failed_requests > 0 || !is_short;
    if asks_another && rand::random_bool(OTHER_SOURCE_PROBABILITY) {
        return follower.random_peer(RelayLane::Bulk);
    }
    let link = follower.peers.link(&transfer.source, RelayLane::Bulk)?;
    Some((transfer.source.clone(), link))
}

/// Applies the value if all of its chunks have arrived.
fn finish(follower: &Follower, transfer: &Transfer) {
    let Some(value) = transfer.assembly.value() else {
        return;
    };
    let pending = &transfer.pending;
    let row = SharedRow {
        key: pending.key.clone(),
        version: pending.version,
        value: Some(value),
    };
    let now = Instant::now();
    follower
        .replica
        .apply_row(pending.table, row, RowSource::Peer, now);
}
