//! The state of a caller's connection that its requests share with the task that serves it.

use std::sync::atomic::{AtomicBool, Ordering};

/// The state of one connection of a caller.
#[derive(Debug, Default)]
pub(super) struct CallerConnection {
    has_unread_body: AtomicBool,
}

impl CallerConnection {
    /// Records that the body of a request was not read to its end, so that the connection can't
    /// carry another request.
    pub(super) fn leave_body_unread(&self) {
        self.has_unread_body.store(true, Ordering::Relaxed);
    }

    /// Returns whether the body of a request was not read to its end.
    pub(super) fn has_unread_body(&self) -> bool {
        self.has_unread_body.load(Ordering::Relaxed)
    }
}
