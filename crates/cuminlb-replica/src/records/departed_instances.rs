//! The instances that have drained and left.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long an instance is known to have drained.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of instances that are kept; those that left first go first.
const MAX_INSTANCES: usize = 4_096;

/// An instance that has drained and left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    incarnation: Incarnation,
    known_until: Instant,
}

/// The instances that have drained and left lately, with their incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct DepartedInstances {
    departures: BTreeMap<InstanceId, Departure>,
}

impl DepartedInstances {
    /// Records that an instance has drained and left.
    pub(super) fn record(&mut self, id: InstanceId, incarnation: Incarnation, now: Instant) {
        let departure = Departure {
            incarnation,
            known_until: now + RETENTION,
        };
        self.departures.insert(id, departure);
        if self.departures.len() > MAX_INSTANCES {
            let departures = self.departures.iter();
            let first = departures.min_by_key(|(_, departure)| departure.known_until);
            let first = first.map(|(id, _)| id.clone());
            first.and_then(|id| self.departures.remove(&id));
        }
    }

    /// Returns until when an incarnation of an instance is known to have drained, if it is.
    pub(super) fn known_until(&self, id: &InstanceId, incarnation: Incarnation) -> Option<Instant> {
        let departure = self.departures.get(id)?;
        (incarnation <= departure.incarnation).then_some(departure.known_until)
    }

    /// Forgets the instances that left long ago.
    pub(super) fn remove_expired(&mut self, now: Instant) {
        self.departures
            .retain(|_, departure| now < departure.known_until);
    }
}
