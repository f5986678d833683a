//! The interface between the relay server and the node that handles its calls.

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;

use crate::message::{RelayedRows, SuspicionNotice};

/// Handles the calls of `RelayApi`.
pub trait RelayHandler: Clone + Send + Sync + 'static {
    /// Returns the rows of a table that changed after a version.
    fn rows_since(&self, table: StoreTable, after: RowVersion) -> RelayedRows;

    /// Returns the same as [`Self::rows_since`], but waits up to `wait_ms` for such a row.
    fn await_rows(
        &self,
        table: StoreTable,
        after: RowVersion,
        wait_ms: Millis,
    ) -> impl Future<Output = RelayedRows> + Send;

    /// Handles the notice of a peer that an instance has become silent.
    fn suspect(&self, notice: SuspicionNotice);
}
