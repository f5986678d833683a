//! The server side of the calls between nodes.

use std::sync::Arc;

use cuminlb_peer::{
    ChunkRequest, RelayHandler, RelayedUpdate, SuspicionNotice, TableCursors, ValueChunk,
};
use cuminlb_types::prelude::*;

use crate::gateway::Gateway;

/// Responds to the calls of the other nodes.
#[derive(Clone, Debug)]
pub(crate) struct RelayService {
    gateway: Arc<Gateway>,
}

impl RelayService {
    pub(crate) const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl RelayHandler for RelayService {
    async fn await_update(&self, cursors: TableCursors, wait_ms: Millis) -> RelayedUpdate {
        self.gateway.follower.await_update(cursors, wait_ms).await
    }

    fn read_chunks(&self, request: &ChunkRequest) -> Vec<ValueChunk> {
        self.gateway.replica.read_chunks(request)
    }

    fn suspect(&self, notice: SuspicionNotice) {
        self.gateway.suspicions.add(notice);
    }
}
