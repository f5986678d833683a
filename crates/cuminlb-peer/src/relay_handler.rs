//! [`RelayHandler`].

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;

use crate::message::{RelayedRows, SuspicionNotice};

/// Answers the calls of `RelayApi`.
pub trait RelayHandler: Clone + Send + Sync + 'static {
    /// Returns the rows of a table that changed after a version.
    fn rows_since(&self, table: StoreTable, after: RowVersion) -> RelayedRows;

    /// Returns the same as soon as there is such a row, or once a time is over.
    fn await_rows(
        &self,
        table: StoreTable,
        after: RowVersion,
        wait_ms: Millis,
    ) -> impl Future<Output = RelayedRows> + Send;

    /// Takes in that a peer finds an instance silent.
    fn suspect(&self, notice: SuspicionNotice);
}
