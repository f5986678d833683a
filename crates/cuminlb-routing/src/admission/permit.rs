//! The guard that counts a request as in flight.

use std::sync::Arc;

/// Counts one admitted request as in flight until it is dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    _in_flight: Arc<()>,
}

impl AdmissionPermit {
    pub(super) const fn new(in_flight: Arc<()>) -> Self {
        Self {
            _in_flight: in_flight,
        }
    }
}
