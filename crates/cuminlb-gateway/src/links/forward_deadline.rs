//! The latest deadline of the requests on a connection from another node.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// The time beyond its deadline after which a request that is still on the connection is given up.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);

/// The time after which a connection without a request is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(10_000);

/// The time at which a connection from another node is closed, whatever that node does.
#[derive(Debug)]
pub(super) struct ForwardDeadline {
    closes_at: Mutex<Instant>,
}

impl ForwardDeadline {
    pub(super) fn new() -> Self {
        Self {
            closes_at: Mutex::new(Instant::now() + IDLE_TIMEOUT),
        }
    }

    /// Records a request with a deadline, after which the connection may be idle for a time.
    pub(super) fn record(&self, deadline: Instant) {
        let mut closes_at = self
            .closes_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *closes_at = (deadline + DEADLINE_SLACK).max(Instant::now() + IDLE_TIMEOUT);
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn passed(&self) {
        loop {
            let closes_at = self.closes_at();
            sleep_until(closes_at).await;
            if self.closes_at() <= Instant::now() {
                return;
            }
        }
    }

    fn closes_at(&self) -> Instant {
        *self
            .closes_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
