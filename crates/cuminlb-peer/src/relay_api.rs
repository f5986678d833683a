//! [`RelayApi`].

use cuminlb_catalog::{RowChangeSet, StoreTable};
use cuminlb_types::prelude::*;

use crate::message::{RelayedRows, SuspicionNotice};

/// The calls between nodes that follow a platform's store.
#[tarpc::service]
pub trait RelayApi {
    /// Returns the rows of a table that changed after a version, as the node called knows them.
    async fn rows_since(table: StoreTable, after: RowVersion) -> RelayedRows;

    /// Takes in rows that the caller has just learnt.
    async fn learn(table: StoreTable, changes: RowChangeSet);

    /// Tells the leader that an instance has fallen silent.
    async fn suspect(notice: SuspicionNotice);
}
