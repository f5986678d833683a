//! The interface between the relay server and the node that handles its calls.

use cuminlb_types::prelude::*;

use crate::message::{ChunkRequest, RelayedUpdate, SuspicionNotice, TableCursors, ValueChunk};

/// Handles the calls of `RelayApi`.
pub trait RelayHandler: Clone + Send + Sync + 'static {
    /// Returns the rows that changed after `cursors`; waits up to `wait_ms` for such a row.
    fn await_update(
        &self,
        cursors: TableCursors,
        wait_ms: Millis,
    ) -> impl Future<Output = RelayedUpdate> + Send;

    /// Returns those of the requested chunks that this node has.
    fn read_chunks(&self, request: &ChunkRequest) -> Vec<ValueChunk>;

    /// Handles the notice of a peer that an instance has become silent.
    fn suspect(&self, notice: SuspicionNotice);
}
