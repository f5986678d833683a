//! The boundary to what a node does with new rows.

use cuminlb_catalog::{SharedRow, StoreTable};
use tokio::time::Instant;

use crate::RowSource;

/// Receives the rows that are new to a node.
pub trait RowSink: Send + Sync + 'static {
    /// Handles new rows of a table, in the order in which the node applies them.
    fn rows_changed(&self, table: StoreTable, rows: &[SharedRow], source: RowSource, now: Instant);

    /// Handles the restoration of the store from a copy, in place of `rows_changed`. The rows are
    /// those of the restored table, and tombstones of those that it lacks. Large values may follow
    /// by `rows_changed`, as do all later changes.
    fn table_restored(
        &self,
        table: StoreTable,
        rows: &[SharedRow],
        source: RowSource,
        now: Instant,
    );

    /// Handles the outcome of a call of this node to the store.
    fn store_called(&self, table: StoreTable, is_ok: bool, now: Instant);

    /// Handles the news that the store does not serve a peer that this node got rows from.
    fn peer_lost_store(&self, now: Instant);

    /// Handles a request to a peer for rows that the store did not provide.
    fn peer_asked(&self);
}
