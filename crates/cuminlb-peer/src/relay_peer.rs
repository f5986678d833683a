//! The boundary to another node that relays the store's rows.

use std::fmt::Debug;

use async_trait::async_trait;
use cuminlb_types::prelude::*;

use crate::{ChunkRequest, PeerError, RelayedUpdate, TableCursors, ValueChunk};

/// Another node that relays the rows of the store.
#[async_trait]
pub trait RelayPeer: Debug + Send + Sync {
    /// Requests the rows that changed after `cursors`; the peer waits up to `wait_ms` for such a
    /// row, which extends the timeout of the call.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    async fn await_update(
        &self,
        cursors: TableCursors,
        wait_ms: Millis,
    ) -> Result<RelayedUpdate, PeerError>;

    /// Requests chunks of a large value. The response lacks those that the peer does not have.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    async fn read_chunks(&self, request: ChunkRequest) -> Result<Vec<ValueChunk>, PeerError>;
}
