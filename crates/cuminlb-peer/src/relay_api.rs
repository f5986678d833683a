//! [`RelayApi`].

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;

use crate::message::{RelayedRows, SuspicionNotice};

/// The calls between nodes that follow a platform's store.
#[tarpc::service]
pub trait RelayApi {
    /// Returns the rows of a table that changed after a version, as the node called knows them.
    async fn rows_since(table: StoreTable, after: RowVersion) -> RelayedRows;

    /// Returns the same as soon as there is such a row, or once a time is over.
    async fn await_rows(table: StoreTable, after: RowVersion, wait_ms: Millis) -> RelayedRows;

    /// Tells the leader that an instance has fallen silent.
    async fn suspect(notice: SuspicionNotice);
}
