//! The interface of the platform's object store.

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_types::prelude::*;

use crate::PlatformError;

/// The platform's object store: bytes by key.
#[async_trait]
pub trait ObjectStore: Send + Sync + 'static {
    /// Returns an object, or `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the call failed.
    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, PlatformError>;

    /// Writes an object, replacing any previous content.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if the call failed; the object may have been written anyway.
    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), PlatformError>;
}
