//! [`RelayHandler`].

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;

use crate::message::{RelayedRows, SuspicionNotice};

/// Answers the calls of `RelayApi`.
pub trait RelayHandler: Clone + Send + Sync + 'static {
    /// Returns the rows of a table that changed after a version.
    fn rows_since(&self, table: StoreTable, after: RowVersion) -> RelayedRows;

    /// Takes in that a peer finds an instance silent.
    fn suspect(&self, notice: SuspicionNotice);
}
