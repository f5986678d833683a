//! [`DrainRate`].

use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The shortest time of waiting after which the rate counts as measured.
const MIN_MEASURE: Duration = Duration::from_secs(1);

/// The time of waiting after which the older half of the measurement is dropped.
const MAX_MEASURE: Duration = Duration::from_secs(10);

/// Measures how fast requests are served while others wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainRate {
    busy_since: Option<Instant>,
    served: f64,
}

impl DrainRate {
    /// Notes whether requests wait.
    pub fn note_waiting(&mut self, is_waiting: bool, now: Instant) {
        match (is_waiting, self.busy_since) {
            (false, _) => *self = Self::default(),
            (true, None) => self.busy_since = Some(now),
            (true, Some(since)) if now.duration_since(since) > MAX_MEASURE => {
                self.busy_since = Some(since + now.duration_since(since) / 2);
                self.served /= 2.0;
            }
            (true, Some(_)) => {}
        }
    }

    /// Notes that a request got what it waited for.
    pub fn note_served(&mut self) {
        self.served += 1.0;
    }

    /// Returns the rate; `None` while it is not known or nothing was served.
    pub fn rate(&self, now: Instant) -> Option<RequestsPerSecond> {
        let measured = now.duration_since(self.busy_since?);
        let is_known = measured >= MIN_MEASURE && self.served >= 1.0;
        is_known.then(|| RequestsPerSecond(self.served / measured.as_secs_f64()))
    }
}
