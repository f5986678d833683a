//! The limit on the retries that all nodes send to one service.

use std::time::Duration;

use cuminlb_types::prelude::*;

/// The longest time until an instance that pauses reads a retry that was sent to it.
const MAX_ARRIVAL_DELAY: Duration = Duration::from_secs(2);

/// The limit on the retries that all nodes together send to one service in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// The retries for each request within the window.
    pub ratio: Ratio,
    /// The retries in addition to that.
    pub extra: f64,
    /// The window.
    pub window_ms: Millis,
}

impl RetryBounds {
    /// Returns how long a retry counts after it was sent.
    pub(super) fn retry_validity(&self) -> Duration {
        self.window_ms.duration() + MAX_ARRIVAL_DELAY
    }
}
