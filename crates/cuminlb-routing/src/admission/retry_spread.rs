//! [`RetrySpread`].

use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::RngExt;
use tokio::time::Instant;

/// The earliest time at which a refused caller is asked to come back.
const MIN_WAIT_MS: f64 = 500.0;

/// The bounds of the window over which refused callers are spread.
const MIN_WINDOW_MS: f64 = 2_000.0;
const MAX_WINDOW_MS: f64 = 60_000.0;

/// The rate of service that is assumed where less has been seen.
const MIN_RATE: f64 = 1.0;

/// Spreads the return of refused callers over a window that grows with the number of callers
/// that wait or were asked to come back.
#[derive(Clone, Copy, Debug)]
pub struct RetrySpread {
    deferred: f64,
    updated_at: Instant,
}

impl RetrySpread {
    /// Starts with nobody deferred.
    pub const fn new(now: Instant) -> Self {
        Self {
            deferred: 0.0,
            updated_at: now,
        }
    }

    /// Returns when one more refused caller should come back.
    ///
    /// `waiting` callers wait already and `rate` is the rate at which they are served.
    pub fn defer(
        &mut self,
        waiting: usize,
        rate: RequestsPerSecond,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Millis {
        let rate_per_s = rate.get().max(MIN_RATE);
        let elapsed_s = now.duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        self.deferred = (self.deferred - elapsed_s * rate_per_s).max(0.0) + 1.0;
        let backlog = self.deferred + waiting as f64;
        let window_ms = (backlog / rate_per_s * 1_000.0).clamp(MIN_WINDOW_MS, MAX_WINDOW_MS);
        let wait_ms = MIN_WAIT_MS + rng.random_range(0.0..window_ms);
        Millis::from(Duration::from_secs_f64(wait_ms / 1_000.0))
    }
}
