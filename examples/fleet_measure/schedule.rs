//! The random schedule of failures and zone changes that every planner is run against.

use std::collections::BTreeMap;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::size::FleetSize;

/// The simulated duration of a run.
pub(crate) const RUN_DURATION_S: u64 = 24 * 3_600;

/// The time step of the simulation.
pub(crate) const STEP_S: u64 = 10;

/// The number of failures a day in a fleet of 730 instances.
const FAILURES_PER_DAY: u64 = 11;

/// The time that a failed instance stays down.
const FAILURE_DURATION_S: u64 = 4 * 3_600;

/// The number of restarts a day in a fleet of 730 instances.
const RESTARTS_PER_DAY: u64 = 270;

/// The time that a restart takes.
const RESTART_DURATION_S: u64 = 120;

/// The number of fabric domain outages in a run.
const DOMAIN_OUTAGES: u64 = 2;

/// The duration of a fabric domain outage.
const DOMAIN_OUTAGE_DURATION_S: u64 = 1_800;

/// The number of times that a zone is taken out in a run, one after the other.
const ZONES_TAKEN_OUT: u64 = 2;

/// The time that a zone stays out.
const ZONE_OUT_DURATION_S: u64 = 3_600;

/// The number of availability zones.
pub(crate) const ZONE_COUNT: u32 = 3;

/// A state change of the simulated fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FleetEvent {
    /// An instance stops or starts.
    Instance { index: u32, is_up: bool },
    /// All instances of a fabric domain stop or start.
    Domain { index: u32, is_up: bool },
    /// A zone is taken out or back in.
    Zone { index: u32, is_in: bool },
}

/// The events of one run by their time in seconds, the same for every planner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Schedule {
    events: BTreeMap<u64, Vec<FleetEvent>>,
}

impl Schedule {
    /// Draws a random schedule for a fleet.
    pub(crate) fn new(size: FleetSize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut schedule = Self::default();
        let workers = u64::from(size.workers);
        let scaled_count = |per_day: u64| (per_day * workers).div_ceil(730);
        for (count, duration_s) in [
            (scaled_count(FAILURES_PER_DAY), FAILURE_DURATION_S),
            (scaled_count(RESTARTS_PER_DAY), RESTART_DURATION_S),
        ] {
            for _ in 0..count {
                let index = rng.random_range(0..size.workers);
                let make_event = |is_up| FleetEvent::Instance { index, is_up };
                schedule.add(
                    rng.random_range(3_600..RUN_DURATION_S),
                    duration_s,
                    make_event,
                );
            }
        }
        let domains = size.workers.div_ceil(size.instances_per_domain);
        for _ in 0..DOMAIN_OUTAGES {
            let index = rng.random_range(0..domains);
            let make_event = |is_up| FleetEvent::Domain { index, is_up };
            schedule.add(
                rng.random_range(3_600..RUN_DURATION_S),
                DOMAIN_OUTAGE_DURATION_S,
                make_event,
            );
        }
        for interval in 0..ZONES_TAKEN_OUT {
            let index = rng.random_range(0..ZONE_COUNT);
            let make_event = |is_in| FleetEvent::Zone { index, is_in };
            let interval_s = RUN_DURATION_S / ZONES_TAKEN_OUT;
            let start_s = interval * interval_s
                + rng.random_range(3_600..interval_s - 2 * ZONE_OUT_DURATION_S);
            schedule.add(start_s, ZONE_OUT_DURATION_S, make_event);
        }
        schedule
    }

    /// Returns the events of the time step that begins at `at_s`.
    pub(crate) fn at(&self, at_s: u64) -> impl Iterator<Item = FleetEvent> {
        let within = self.events.range(at_s..at_s + STEP_S);
        within.flat_map(|(_, events)| events.iter().copied())
    }

    fn add(&mut self, start_s: u64, duration_s: u64, make_event: impl Fn(bool) -> FleetEvent) {
        let starts = self.events.entry(start_s).or_default();
        starts.push(make_event(false));
        let ends = self.events.entry(start_s + duration_s).or_default();
        ends.push(make_event(true));
    }
}
