//! [`TokenBucket`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The time over which an unused rate is saved up.
const SAVED_S: f64 = 5.0;

/// Bounds requests to a rate, and lets a team use later what it did not use before.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: RequestsPerSecond, now: Instant) -> Self {
        Self {
            tokens: capacity(rate),
            filled_at: now,
        }
    }

    /// Takes one request out, or returns `false` when the rate is used up.
    pub fn take(&mut self, rate: RequestsPerSecond, now: Instant) -> bool {
        let elapsed_s = now.duration_since(self.filled_at).as_secs_f64();
        self.filled_at = now;
        self.tokens = (self.tokens + elapsed_s * rate.get()).min(capacity(rate));
        let is_left = self.tokens >= 1.0;
        if is_left {
            self.tokens -= 1.0;
        }
        is_left
    }
}

fn capacity(rate: RequestsPerSecond) -> f64 {
    (rate.get() * SAVED_S).max(1.0)
}
