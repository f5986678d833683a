//! [`InFlight`].

use std::sync::Arc;
use std::sync::atomic::Ordering;

use tokio::time::Instant;

use super::instance_load::InstanceLoad;

/// A request that is under way at an instance, for as long as this value lives.
#[derive(Debug)]
pub(super) struct InFlight {
    load: Arc<InstanceLoad>,
}

impl InFlight {
    pub(super) fn new(load: Arc<InstanceLoad>) -> Self {
        load.in_flight.fetch_add(1, Ordering::Relaxed);
        load.note_sent(Instant::now());
        Self { load }
    }

    /// Notes that the instance has sent something.
    pub(super) fn note_progress(&self, now: Instant) {
        self.load.note_progress(now);
    }

    /// Returns what is seen of the instance.
    pub(super) fn load(&self) -> &InstanceLoad {
        &self.load
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
