//! Wraps the table service of the platform to count and time its calls.

use async_trait::async_trait;
use cuminlb_platform::{
    CommitOutcome, PlatformError, RowQuery, RowResponse, TableService, Transaction,
};

use super::{PlatformCall, PlatformMetrics};

/// A table service whose calls are counted and timed.
#[derive(Debug)]
pub struct MeteredTable<T> {
    inner: T,
    metrics: PlatformMetrics,
}

impl<T> MeteredTable<T> {
    /// Wraps a table service.
    pub const fn new(inner: T, metrics: PlatformMetrics) -> Self {
        Self { inner, metrics }
    }
}

#[async_trait]
impl<T: TableService> TableService for MeteredTable<T> {
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError> {
        self.metrics
            .measure(PlatformCall::TableRead, self.inner.read(queries))
            .await
    }

    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError> {
        self.metrics
            .measure(PlatformCall::TableCommit, self.inner.commit(transaction))
            .await
    }
}
