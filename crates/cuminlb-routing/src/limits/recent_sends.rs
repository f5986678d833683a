//! When requests were last sent to an instance.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The longest window in which more than one request can be counted.
const RETENTION: Duration = Duration::from_secs(5);

/// When this node has sent requests to an instance.
#[derive(Clone, Debug, Default)]
pub struct RecentSends {
    /// In order of time; the last one is kept however old it is.
    times: VecDeque<Instant>,
}

impl RecentSends {
    /// Records that a request is sent.
    pub fn record(&mut self, now: Instant) {
        self.times.push_back(now);
        while self.times.len() > 1 && now.duration_since(self.times[0]) >= RETENTION {
            self.times.pop_front();
        }
    }

    /// Returns the number of requests that were sent within `window`, five seconds at most, until now.
    pub fn count_within(&self, window: Duration, now: Instant) -> usize {
        let times = self.times.iter().rev();
        times
            .take_while(|at| now.duration_since(**at) < window)
            .count()
    }

    /// Returns when the last request was sent.
    pub fn last(&self) -> Option<Instant> {
        self.times.back().copied()
    }

    /// Returns from when on fewer than `count` requests, of which there must be some, have been sent
    /// within `window`; `None` if that holds for all times from now on.
    pub fn below(&self, count: usize, window: Duration, now: Instant) -> Option<Instant> {
        let oldest_counted = self.times.len().checked_sub(count)?;
        let free_at = *self.times.get(oldest_counted)? + window;
        (now < free_at).then_some(free_at)
    }
}
