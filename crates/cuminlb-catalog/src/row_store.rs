//! [`RowStore`].

use async_trait::async_trait;
use cuminlb_types::prelude::*;

use crate::{RowChangeSet, StoreError, StoreTable, WriteOutcome};

/// The platform's store of rows.
#[async_trait]
pub trait RowStore: Send + Sync + 'static {
    /// Reads a whole table as of one moment.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer could be had.
    async fn read_table(&self, table: StoreTable) -> Result<RowChangeSet, StoreError>;

    /// Waits for changes after a version, for `wait_ms` at most; none may have come.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when no answer could be had, or the changes are no longer known.
    async fn changes(
        &self,
        table: StoreTable,
        after: RowVersion,
        wait_ms: Millis,
    ) -> Result<RowChangeSet, StoreError>;

    /// Writes one row if it is at an expected version; zero means that there is no such row.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`]; after [`StoreError::NoAnswer`] the write may still take effect.
    async fn write(
        &self,
        table: StoreTable,
        key: &RowKey,
        expected: RowVersion,
        value: &[u8],
    ) -> Result<WriteOutcome, StoreError>;
}
