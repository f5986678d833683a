//! [`AdmissionPermit`].

use tokio::sync::OwnedSemaphorePermit;

/// The right of one request to be inside; it ends when this is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    _permit: OwnedSemaphorePermit,
}

impl AdmissionPermit {
    pub(super) const fn new(permit: OwnedSemaphorePermit) -> Self {
        Self { _permit: permit }
    }
}
