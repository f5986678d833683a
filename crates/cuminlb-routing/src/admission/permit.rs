//! [`AdmissionPermit`].

use std::sync::Arc;

/// The right of one request to be inside; it ends when this is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    _inside: Arc<()>,
}

impl AdmissionPermit {
    pub(super) const fn new(inside: Arc<()>) -> Self {
        Self { _inside: inside }
    }
}
