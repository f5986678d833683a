//! The boundary to the platform's store.

use async_trait::async_trait;
use cuminlb_types::prelude::*;

use crate::{RowChangeSet, SharedRow, StoreError, StoreTable, WriteOutcome};

/// The platform's store of versioned rows.
#[async_trait]
pub trait RowStore: Send + Sync + 'static {
    /// Reads a consistent snapshot of a table.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails.
    async fn read_table(&self, table: StoreTable) -> Result<RowChangeSet, StoreError>;

    /// Reads one row; `None` if there is none with this key.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails or takes longer than `timeout_ms`.
    async fn read_row(
        &self,
        table: StoreTable,
        key: &RowKey,
        timeout_ms: Millis,
    ) -> Result<Option<SharedRow>, StoreError>;

    /// Waits for changes after a version, for at most `wait_ms`. The result is empty if none
    /// occurred in that time.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails or the store no longer keeps these changes, as after
    /// it was restored from a copy.
    async fn changes(
        &self,
        table: StoreTable,
        after: StoreVersion,
        wait_ms: Millis,
    ) -> Result<RowChangeSet, StoreError>;

    /// Writes one row if it is at the expected version; row version zero, of any era, means that the
    /// row must not exist.
    ///
    /// A version of an earlier era than that of the store is a conflict, because the store may have
    /// given it out again. If the store was restored without notice, the row is written in a later
    /// era than that of `expected`, as the returned version states, and may have replaced another
    /// writer's row.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the call fails. After [`StoreError::NoResponse`] the write may
    /// still take effect.
    async fn write(
        &self,
        table: StoreTable,
        key: &RowKey,
        expected: StoreVersion,
        value: &[u8],
    ) -> Result<WriteOutcome, StoreError>;
}
