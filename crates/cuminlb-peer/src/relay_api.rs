//! The tarpc service of the calls between nodes that follow a platform's store.
//!
//! The order of its methods and of their parameters is part of the wire format.

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;

use crate::message::{RelayedRows, SuspicionNotice};

/// The calls between nodes that follow a platform's store.
#[tarpc::service]
pub trait RelayApi {
    /// Returns the rows of a table that changed after a version, as known to the called node.
    async fn rows_since(table: StoreTable, after: RowVersion) -> RelayedRows;

    /// Returns the same as `rows_since`, but waits up to `wait_ms` for such a row.
    async fn await_rows(table: StoreTable, after: RowVersion, wait_ms: Millis) -> RelayedRows;

    /// Notifies the leader that an instance has become silent.
    async fn suspect(notice: SuspicionNotice);
}
