//! A guard that counts a request as in flight at an instance.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

use super::instance_load::InstanceLoad;

/// Counts a request as in flight at an instance until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    load: Arc<InstanceLoad>,
}

impl InFlightGuard {
    pub(super) fn new(load: Arc<InstanceLoad>) -> Self {
        load.in_flight.fetch_add(1, Ordering::Relaxed);
        load.record_send(Instant::now());
        Self { load }
    }

    /// Records that the instance has sent something.
    pub(super) fn record_progress(&self, now: Instant) {
        self.load.record_progress(now);
    }

    /// Returns the observations of the instance.
    pub(super) fn load(&self) -> &InstanceLoad {
        &self.load
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
