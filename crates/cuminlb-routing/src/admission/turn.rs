//! The guard that limits how many requests of a service try to acquire slots at the same time.

use std::sync::Arc;

use super::ServiceQueue;

/// The right of one request to try to acquire a slot; it passes to the next request when dropped.
#[derive(Debug)]
pub struct Turn {
    queue: Option<Arc<ServiceQueue>>,
}

impl Turn {
    pub(super) const fn new(queue: Arc<ServiceQueue>) -> Self {
        Self { queue: Some(queue) }
    }

    /// Records that the request has acquired its slot, and passes the turn on.
    pub fn served(self) {
        if let Some(queue) = &self.queue {
            queue.record_served();
        }
    }

    /// Drops the turn without passing it on, because its receiver is gone.
    pub(super) fn disarm(mut self) {
        self.queue = None;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.grant_next();
        }
    }
}
