//! The rate at which a queue drains, from which expected waiting times are derived.

use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The minimum measurement window; the rate is unknown until requests have waited this long.
const MIN_WINDOW: Duration = Duration::from_secs(1);

/// The window length above which the older half of the measurement is dropped.
const MAX_WINDOW: Duration = Duration::from_secs(10);

/// Measures the rate at which requests are served while others wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    /// The start of the measurement window; `None` while no request waits.
    window_start: Option<Instant>,
    served: f64,
}

impl DrainRate {
    /// Records whether requests wait, and restarts the measurement when none does.
    pub fn record_waiting(&mut self, is_waiting: bool, now: Instant) {
        match (is_waiting, self.window_start) {
            (false, _) => *self = Self::default(),
            (true, None) => self.window_start = Some(now),
            (true, Some(start)) if now.duration_since(start) > MAX_WINDOW => {
                self.window_start = Some(start + now.duration_since(start) / 2);
                self.served /= 2.0;
            }
            (true, Some(_)) => {}
        }
    }

    /// Records that a request was served.
    pub fn record_served(&mut self) {
        self.served += 1.0;
    }

    /// Returns the rate, or `None` if the window is too short or nothing has been served.
    pub fn rate(&self, now: Instant) -> Option<RequestsPerSecond> {
        let window = now.duration_since(self.window_start?);
        let is_known = window >= MIN_WINDOW && self.served >= 1.0;
        is_known.then(|| RequestsPerSecond(self.served / window.as_secs_f64()))
    }
}
