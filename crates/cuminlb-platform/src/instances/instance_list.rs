//! [`InstanceList`].

use async_trait::async_trait;

use super::{InstanceListing, ListRevision};
use crate::PlatformError;

/// The platform's list of live and leaving instances; it lags behind.
#[async_trait]
pub trait InstanceList: Send + Sync + 'static {
    /// Returns the list, or `None` where it still has the known revision.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer could be had.
    async fn list(
        &self,
        known: Option<ListRevision>,
    ) -> Result<Option<InstanceListing>, PlatformError>;
}
