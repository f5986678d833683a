//! Wraps the object store of the platform to count and time its calls.

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_platform::{ObjectStore, PlatformError};
use cuminlb_types::prelude::*;

use super::{PlatformCall, PlatformMetrics};

/// An object store whose calls are counted and timed.
#[derive(Debug)]
pub struct MeteredObjects<T> {
    inner: T,
    metrics: PlatformMetrics,
}

impl<T> MeteredObjects<T> {
    /// Wraps an object store.
    pub const fn new(inner: T, metrics: PlatformMetrics) -> Self {
        Self { inner, metrics }
    }
}

#[async_trait]
impl<T: ObjectStore> ObjectStore for MeteredObjects<T> {
    async fn get(&self, key: &ObjectKey) -> Result<Option<Bytes>, PlatformError> {
        self.metrics
            .measure(PlatformCall::ObjectGet, self.inner.get(key))
            .await
    }

    async fn put(&self, key: &ObjectKey, body: Bytes) -> Result<(), PlatformError> {
        self.metrics
            .measure(PlatformCall::ObjectPut, self.inner.put(key, body))
            .await
    }
}
