//! [`TableService`].

use async_trait::async_trait;

use super::{CommitOutcome, RowAnswer, RowQuery, Transaction};
use crate::PlatformError;

/// The platform's transactional table service.
#[async_trait]
pub trait TableService: Send + Sync + 'static {
    /// Reads rows; the answers stand in the order of the queries and come from one moment.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer could be had.
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowAnswer>, PlatformError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer could be had; the transaction may have taken
    /// effect all the same, unless the error says otherwise.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError>;
}
