//! Randomized retry delays for refused callers.

use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::RngExt;
use tokio::time::Instant;

/// The shortest delay after which a refused caller is asked to retry.
const MIN_DELAY_MS: f64 = 500.0;

/// The shortest window over which the retries of refused callers are spread.
const MIN_WINDOW_MS: f64 = 2_000.0;

/// The longest window over which the retries of refused callers are spread.
const MAX_WINDOW_MS: f64 = 60_000.0;

/// The lowest service rate that is assumed, in requests per second.
const MIN_RATE_PER_S: f64 = 1.0;

/// Spreads the retries of refused callers over a window that grows with the number of callers
/// that wait or were asked to retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryJitter {
    /// The estimated number of refused callers that have not retried yet.
    deferred_callers: f64,
    updated_at: Instant,
}

impl RetryJitter {
    /// Creates a jitter without deferred callers.
    pub const fn new(now: Instant) -> Self {
        Self {
            deferred_callers: 0.0,
            updated_at: now,
        }
    }

    /// Returns the delay after which one more refused caller should retry.
    ///
    /// `waiting` is the number of callers that wait already, `rate` that at which they are served.
    pub fn next_retry_after(
        &mut self,
        waiting: usize,
        rate: RequestsPerSecond,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Millis {
        let rate_per_s = rate.get().max(MIN_RATE_PER_S);
        let elapsed_s = now.duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.deferred_callers = (self.deferred_callers - elapsed_s * rate_per_s).max(0.0) + 1.0;
        let backlog = self.deferred_callers + waiting as f64;
        let window_ms = (backlog / rate_per_s * 1_000.0).clamp(MIN_WINDOW_MS, MAX_WINDOW_MS);
        let delay_ms = MIN_DELAY_MS + rng.random_range(0.0..window_ms);
        Millis::from(Duration::from_secs_f64(delay_ms / 1_000.0))
    }
}
