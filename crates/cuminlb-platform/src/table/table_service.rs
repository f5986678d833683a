//! The interface of the platform's table service.

use async_trait::async_trait;

use super::{CommitOutcome, RowQuery, RowResponse, Transaction};
use crate::PlatformError;

/// The platform's transactional table service.
#[async_trait]
pub trait TableService: Send + Sync + 'static {
    /// Reads rows from one consistent snapshot; responses are in the order of the queries.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the call failed.
    async fn read(&self, queries: &[RowQuery]) -> Result<Vec<RowResponse>, PlatformError>;

    /// Applies all writes of a transaction atomically if all its checks hold.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the call failed; the transaction may have taken effect unless
    /// [`PlatformError::may_have_taken_effect`] returns false.
    async fn commit(&self, transaction: &Transaction) -> Result<CommitOutcome, PlatformError>;
}
