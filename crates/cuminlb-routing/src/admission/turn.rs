//! [`Turn`].

use std::sync::Arc;

use super::ServiceQueue;

/// The right of one request to ask for a slot; the next request has it once this is dropped.
#[derive(Debug)]
pub struct Turn {
    queue: Option<Arc<ServiceQueue>>,
}

impl Turn {
    pub(super) const fn new(queue: Arc<ServiceQueue>) -> Self {
        Self { queue: Some(queue) }
    }

    /// Notes that the request has its slot, and lets the next one ask.
    pub fn served(self) {
        if let Some(queue) = &self.queue {
            queue.note_served();
        }
    }

    /// Gives the turn up without passing it on.
    pub(super) fn cancel(mut self) {
        self.queue = None;
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if let Some(queue) = self.queue.take() {
            queue.pass_on();
        }
    }
}
