//! When something was last sent or received on a connection.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::{Instant, sleep_until};

/// When something was last sent or received on a connection.
#[derive(Debug)]
pub(crate) struct LinkActivity(Mutex<Instant>);

impl LinkActivity {
    /// Returns the activity of a connection that was just opened.
    pub(crate) fn new() -> Self {
        Self(Mutex::new(Instant::now()))
    }

    /// Records that something was sent or received.
    pub(crate) fn record(&self) {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Waits until nothing has been sent or received for a time.
    pub(crate) async fn silent_for(&self, time: Duration) {
        loop {
            let silent_at = self.last() + time;
            if silent_at <= Instant::now() {
                return;
            }
            sleep_until(silent_at).await;
        }
    }

    fn last(&self) -> Instant {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
