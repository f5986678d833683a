//! [`ObjectStore`].

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_types::prelude::*;

use crate::PlatformError;

/// The platform's object store.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Returns an object, or `None` where there is none.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer could be had.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object whole.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] when no answer could be had; the object may be written.
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), PlatformError>;
}
