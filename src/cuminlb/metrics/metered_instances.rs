//! Wraps the instance list of the platform to count and time its calls.

use async_trait::async_trait;
use cuminlb_platform::{InstanceList, InstanceListing, ListRevision, PlatformError};

use super::{PlatformCall, PlatformMetrics};

/// An instance list whose calls are counted and timed.
#[derive(Debug)]
pub struct MeteredInstances<T> {
    inner: T,
    metrics: PlatformMetrics,
}

impl<T> MeteredInstances<T> {
    /// Wraps an instance list.
    pub const fn new(inner: T, metrics: PlatformMetrics) -> Self {
        Self { inner, metrics }
    }
}

#[async_trait]
impl<T: InstanceList> InstanceList for MeteredInstances<T> {
    async fn list(
        &self,
        known: Option<ListRevision>,
    ) -> Result<Option<InstanceListing>, PlatformError> {
        self.metrics
            .measure(PlatformCall::InstanceList, self.inner.list(known))
            .await
    }
}
