//! The time at which a connection is closed.

use tokio::task::AbortHandle;

/// Closes a connection at a deadline unless it is dropped before.
#[derive(Debug)]
pub(crate) struct ConnectionDeadline {
    timer: AbortHandle,
}

impl ConnectionDeadline {
    pub(super) const fn new(timer: AbortHandle) -> Self {
        Self { timer }
    }
}

impl Drop for ConnectionDeadline {
    fn drop(&mut self) {
        self.timer.abort();
    }
}
