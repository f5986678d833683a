//! The bounded in-memory log of the events of a node.

use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use crate::event_ring::EventRing;
use crate::{Event, EventFilter, EventKind, EventMetrics, HybridClock};

/// The newest events of one node, in two rings of bounded size.
///
/// Events about requests have a separate ring, so that a large number of requests does not evict
/// the events that explain why a group went down.
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

    /// Returns the clock that timestamps the events.
    pub const fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Returns the metrics that count the events.
    pub const fn metrics(&self) -> &EventMetrics {
        &self.metrics
    }

    /// Records an event with the current time; evicts the oldest event of its ring if that is full.
    ///
    /// Texts are truncated to a bounded length and their control characters replaced, since parts
    /// of them come from callers.
    pub fn record(&self, kind: EventKind) {
        self.metrics.count(&kind);
        let mut rings = self.lock();
        let event = Event {
            time: self.clock.tick(),
            node: self.node.clone(),
            zone: self.zone.clone(),
            kind: kind.with_sanitized_texts(),
        };
        if event.kind.is_per_request() {
            rings.requests.push(event);
        } else {
            rings.fleet.push(event);
        }
    }

    /// Returns at most `limit` events that match a filter, oldest first.
    ///
    /// Those are the newest matches, or with [`EventFilter::after`] the first ones after that time,
    /// so that a reader that resumes from its last event misses none that are still kept.
    pub fn select(&self, filter: &EventFilter, limit: usize) -> Vec<Event> {
        let mut matching: Vec<Event> = {
            let rings = self.lock();
            let all = rings.requests.iter().chain(rings.fleet.iter());
            all.filter(|event| filter.matches(event)).cloned().collect()
        };
        matching.sort_by_key(|event| event.time);
        if filter.after.is_some() {
            matching.truncate(limit);
        } else {
            matching.drain(..matching.len().saturating_sub(limit));
        }
        matching
    }

    fn lock(&self) -> MutexGuard<'_, Rings> {
        self.rings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
