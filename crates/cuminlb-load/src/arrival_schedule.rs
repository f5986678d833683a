//! [`ArrivalSchedule`].

use std::time::Duration;

use cuminlb_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// When requests are sent, counted from the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ArrivalSchedule {
    times: Vec<Duration>,
}

impl ArrivalSchedule {
    /// Plans arrivals that are independent of each other, at a mean rate.
    pub fn poisson(rate: RequestsPerSecond, length_ms: Millis, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut times = Vec::new();
        let mut at_s = 0.0;
        let end_s = length_ms.duration().as_secs_f64();
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at_s -= uniform.ln() / rate.get();
            if at_s >= end_s {
                return Self { times };
            }
            times.push(Duration::from_secs_f64(at_s));
        }
    }

    /// Plans a number of arrivals spread evenly over a time: callers who all wake at once.
    pub fn burst(requests: u32, within_ms: Millis) -> Self {
        let gap = within_ms.duration() / requests.max(1);
        Self {
            times: (0..requests).map(|number| gap * number).collect(),
        }
    }

    /// Adds the arrivals of another schedule.
    #[must_use]
    pub fn and(mut self, other: Self) -> Self {
        self.times.extend(other.times);
        self.times.sort_unstable();
        self
    }

    /// Returns the times in ascending order.
    pub fn times(&self) -> &[Duration] {
        &self.times
    }
}
