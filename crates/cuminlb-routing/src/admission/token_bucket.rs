//! A token bucket whose rate is given with each call, because it changes with the live nodes.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The time over which unused tokens accumulate, in seconds.
const MAX_BURST_S: f64 = 5.0;

/// Limits requests to a rate, and permits bursts from unused tokens.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: RequestsPerSecond, now: Instant) -> Self {
        Self {
            tokens: capacity(rate),
            refilled_at: now,
        }
    }

    /// Takes one token; returns `false` if none is available.
    pub fn try_take(&mut self, rate: RequestsPerSecond, now: Instant) -> bool {
        let elapsed_s = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        self.tokens = (self.tokens + elapsed_s * rate.get()).min(capacity(rate));
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }
}

/// Returns the number of tokens of a full bucket; at least one, so that a low rate admits requests.
fn capacity(rate: RequestsPerSecond) -> f64 {
    (rate.get() * MAX_BURST_S).max(1.0)
}
