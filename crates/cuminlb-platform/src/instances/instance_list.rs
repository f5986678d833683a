//! The interface of the platform's instance list.

use async_trait::async_trait;

use super::{InstanceListing, ListRevision};
use crate::PlatformError;

/// The platform's list of live and leaving instances; it lags behind their actual state.
#[async_trait]
pub trait InstanceList: Send + Sync + 'static {
    /// Returns the list, or `None` if it still has the revision `known_revision`.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the call failed.
    async fn list(
        &self,
        known_revision: Option<ListRevision>,
    ) -> Result<Option<InstanceListing>, PlatformError>;
}
