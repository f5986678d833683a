//! [`SimulatedPeer`]: a call to another node of the simulated fleet.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use cuminlb_peer::{
    ChunkRequest, PeerError, RelayPeer, RelayedUpdate, RelayedValue, TableCursors, ValueChunk,
};
use cuminlb_types::prelude::*;
use tokio::time::{sleep, timeout};

use crate::simulated_fleet::SimulatedNode;

/// The one-way latency between nodes.
const LATENCY: Duration = Duration::from_millis(1);

/// The timeout of a call beyond its wait.
const CALL_TIMEOUT_MS: Millis = Millis(400);

/// Bytes of a row beyond its value, and of a reference to a chunk.
const ROW_OVERHEAD_BYTES: usize = 40;
const CHUNK_REF_BYTES: usize = 24;

/// Another node as seen from a caller.
#[derive(Debug)]
pub struct SimulatedPeer {
    pub target: Arc<SimulatedNode>,
    /// The calling node.
    pub own: Arc<SimulatedNode>,
}

impl SimulatedPeer {
    /// Runs a call; its response is sent even after the caller has given up.
    async fn call<T: Send + 'static>(
        &self,
        limit_ms: Millis,
        respond: impl Future<Output = T> + Send + 'static,
        length: impl Fn(&T) -> usize + Send + 'static,
    ) -> Result<T, PeerError> {
        let target = Arc::clone(&self.target);
        let link = Arc::clone(&self.own.link);
        let response = tokio::spawn(async move {
            sleep(LATENCY).await;
            target.wait_running().await;
            let response = respond.await;
            let length = ByteCount(length(&response) as u64);
            target.link.transfer(length).await;
            link.transfer(length).await;
            sleep(LATENCY).await;
            response
        });
        let no_response = |reason: &str| PeerError::NoResponse {
            timeout_ms: limit_ms,
            reason: reason.into(),
        };
        if self.target.is_lost() {
            sleep(limit_ms.duration()).await;
            return Err(no_response("lost"));
        }
        match timeout(limit_ms.duration(), response).await {
            Ok(response) => response.map_err(|_| no_response("failed")),
            Err(_elapsed) => Err(no_response("timeout")),
        }
    }
}

#[async_trait]
impl RelayPeer for SimulatedPeer {
    async fn await_update(
        &self,
        cursors: TableCursors,
        wait_ms: Millis,
    ) -> Result<RelayedUpdate, PeerError> {
        let target = Arc::clone(&self.target);
        let respond = async move {
            let process = target.process();
            process.follower().await_update(cursors, wait_ms).await
        };
        self.call(CALL_TIMEOUT_MS + wait_ms, respond, update_length)
            .await
    }

    async fn read_chunks(&self, request: ChunkRequest) -> Result<Vec<ValueChunk>, PeerError> {
        let target = Arc::clone(&self.target);
        let respond = async move { target.process().replica().read_chunks(&request) };
        let length = |chunks: &Vec<ValueChunk>| chunks.iter().map(|it| it.bytes.len()).sum();
        self.call(CALL_TIMEOUT_MS, respond, length).await
    }
}

fn update_length(update: &RelayedUpdate) -> usize {
    let rows = update.tables.iter().flat_map(|table| &table.rows);
    let lengths = rows.map(|row| {
        ROW_OVERHEAD_BYTES
            + match &row.value {
                RelayedValue::Removed => 0,
                RelayedValue::Whole(value) => value.len(),
                RelayedValue::Chunked(list) => list.chunks.len() * CHUNK_REF_BYTES,
            }
    });
    lengths.sum()
}
