//! [`EventLog`].

use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use crate::event_ring::EventRing;
use crate::{Event, EventFilter, EventKind, EventMetrics, HybridClock};

/// The newest events of one node, in two rings of bounded size.
///
/// Events about requests have a ring of their own, so that many requests don't push out the
/// events that say why a group went down.
#[derive(Debug)]
pub struct EventLog {
    node: NodeId,
    zone: ZoneId,
    clock: HybridClock,
    metrics: EventMetrics,
    rings: Mutex<Rings>,
}

#[derive(Debug)]
struct Rings {
    requests: EventRing,
    fleet: EventRing,
}

impl EventLog {
    /// Creates an empty log that keeps at most `capacity` events, half of them about requests.
    pub fn new(node: NodeId, zone: ZoneId, capacity: usize) -> Self {
        let fleet_capacity = capacity / 2;
        let rings = Rings {
            requests: EventRing::new(capacity - fleet_capacity),
            fleet: EventRing::new(fleet_capacity),
        };
        Self {
            node,
            zone,
            clock: HybridClock::default(),
            metrics: EventMetrics::default(),
            rings: Mutex::new(rings),
        }
    }

    /// Returns the clock that gives the events their times.
    pub const fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Returns the counts of the events.
    pub const fn metrics(&self) -> &EventMetrics {
        &self.metrics
    }

    /// Records an event that happens now; the oldest event gives way when its ring is full.
    ///
    /// Texts are cut to a bounded length and control characters in them replaced, since parts of
    /// them come from callers.
    pub fn record(&self, kind: EventKind) {
        self.metrics.count(&kind);
        let mut rings = self.lock();
        let event = Event {
            time: self.clock.tick(),
            node: self.node.clone(),
            zone: self.zone.clone(),
            kind: kind.with_bounded_texts(),
        };
        if event.kind.request().is_some() {
            rings.requests.push(event);
        } else {
            rings.fleet.push(event);
        }
    }

    /// Returns at most `limit` events that a filter selects, oldest first.
    ///
    /// Those are the newest, or with [`EventFilter::after`] the first after that time, so that a
    /// reader who goes on from the last event misses none that is still kept.
    pub fn select(&self, filter: &EventFilter, limit: usize) -> Vec<Event> {
        let mut found: Vec<Event> = {
            let rings = self.lock();
            let all = rings.requests.iter().chain(rings.fleet.iter());
            all.filter(|event| filter.selects(event)).cloned().collect()
        };
        found.sort_by_key(|event| event.time);
        if filter.after.is_some() {
            found.truncate(limit);
        } else {
            found.drain(..found.len().saturating_sub(limit));
        }
        found
    }

    fn lock(&self) -> MutexGuard<'_, Rings> {
        self.rings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
