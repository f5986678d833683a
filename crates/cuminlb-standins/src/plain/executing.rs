//! [`Executing`].

use std::sync::atomic::{AtomicU32, Ordering};

/// A call that is executed; it counts until this is dropped.
pub(super) struct Executing<'a> {
    running: &'a AtomicU32,
}

impl<'a> Executing<'a> {
    /// Counts a call.
    pub(super) fn start(running: &'a AtomicU32) -> Self {
        running.fetch_add(1, Ordering::Relaxed);
        Self { running }
    }
}

impl Drop for Executing<'_> {
    fn drop(&mut self) {
        self.running.fetch_sub(1, Ordering::Relaxed);
    }
}
