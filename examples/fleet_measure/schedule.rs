//! [`Schedule`].

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::size::FleetSize;

/// The length of a run.
pub(crate) const LENGTH_S: u64 = 24 * 3_600;

/// The step of model time.
pub(crate) const STEP_S: u64 = 10;

/// The failures of 730 instances in a day, and how long each lasts.
const FAILURES_PER_DAY: u64 = 11;
const FAILURE_S: u64 = 4 * 3_600;

/// The restarts of 730 instances in a day, and how long each takes.
const RESTARTS_PER_DAY: u64 = 270;
const RESTART_S: u64 = 120;

/// The fabric domains that go dark in a run, and for how long.
const DARK_DOMAINS: u64 = 2;
const DARK_S: u64 = 1_800;

/// The zones that are taken out in a run, one after the other, and for how long.
const ZONES_OUT: u64 = 2;
const ZONE_OUT_S: u64 = 3_600;

/// The number of availability zones.
pub(crate) const ZONES: u32 = 3;

/// One thing that happens at a point of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Happening {
    /// An instance stops or starts anew.
    Machine { number: u32, up: bool },
    /// A fabric domain goes dark or comes back.
    Domain { number: u32, up: bool },
    /// A zone is taken out or comes back.
    Zone { number: u32, is_in: bool },
}

/// What happens when, the same for every planner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    happenings: BTreeMap<u64, Vec<Happening>>,
}

impl Schedule {
    /// Draws a schedule for a fleet.
    pub(crate) fn new(size: FleetSize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Self::default();
        let workers = u64::from(size.workers);
        let share = |per_day: u64| (per_day * workers).div_ceil(730);
        for (count, lasts_s) in [
            (share(FAILURES_PER_DAY), FAILURE_S),
            (share(RESTARTS_PER_DAY), RESTART_S),
        ] {
            for _ in 0..count {
                let number = rng.random_range(0..size.workers);
                let event = |up| Happening::Machine { number, up };
                schedule.add(rng.random_range(3_600..LENGTH_S), lasts_s, event);
            }
        }
        let domains = size.workers.div_ceil(size.domain);
        for _ in 0..DARK_DOMAINS {
            let number = rng.random_range(0..domains);
            let event = |up| Happening::Domain { number, up };
            schedule.add(rng.random_range(3_600..LENGTH_S), DARK_S, event);
        }
        for turn in 0..ZONES_OUT {
            let number = rng.random_range(0..ZONES);
            let event = |is_in| Happening::Zone { number, is_in };
            let half = LENGTH_S / ZONES_OUT;
            let from = turn * half + rng.random_range(3_600..half - 2 * ZONE_OUT_S);
            schedule.add(from, ZONE_OUT_S, event);
        }
        schedule
    }

    /// Returns what happens within the step that begins at `at_s`.
    pub(crate) fn at(&self, at_s: u64) -> impl Iterator<Item = Happening> {
        let within = self.happenings.range(at_s..at_s + STEP_S);
        within.flat_map(|(_, happenings)| happenings.iter().copied())
    }

    fn add(&mut self, from_s: u64, lasts_s: u64, event: impl Fn(bool) -> Happening) {
        let starts = self.happenings.entry(from_s).or_default();
        starts.push(event(false));
        let ends = self.happenings.entry(from_s + lasts_s).or_default();
        ends.push(event(true));
    }
}
