//! Arrival times of an open-loop load, drawn from a Poisson process or spread evenly.

use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// The send times of requests, as offsets from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalSchedule {
    offsets: Vec<Duration>,
}

impl ArrivalSchedule {
    /// Draws the arrivals of a Poisson process with this mean rate.
    pub fn poisson(rate: RequestsPerSecond, duration_ms: Millis, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut offsets = Vec::new();
        let mut arrival_s = 0.0;
        let end_s = duration_ms.duration().as_secs_f64();
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            arrival_s -= uniform.ln() / rate.get();
            if arrival_s >= end_s {
                return Self { offsets };
            }
            offsets.push(Duration::from_secs_f64(arrival_s));
        }
    }

    /// Spreads a number of arrivals evenly over a short period, as a burst of callers sends them.
    pub fn burst(requests: u32, within_ms: Millis) -> Self {
        let gap = within_ms.duration() / requests.max(1);
        Self {
            offsets: (0..requests).map(|index| gap * index).collect(),
        }
    }

    /// Merges the arrivals of another schedule into this one.
    #[must_use]
    pub fn merge(mut self, other: Self) -> Self {
        self.offsets.extend(other.offsets);
        self.offsets.sort_unstable();
        self
    }

    /// Returns the offsets in ascending order.
    pub fn offsets(&self) -> &[Duration] {
        &self.offsets
    }
}
