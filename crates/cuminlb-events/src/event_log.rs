//! [`EventLog`].

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

use crate::{Event, EventFilter, EventKind, HybridClock};

/// The newest events of one node, in a ring of bounded size.
#[derive(Debug)]
pub struct EventLog {
    node: NodeId,
    zone: ZoneId,
    clock: HybridClock,
    capacity: usize,
    ring: Mutex<VecDeque<Event>>,
}

impl EventLog {
    /// Creates an empty log that keeps at most `capacity` events.
    pub fn new(node: NodeId, zone: ZoneId, capacity: usize) -> Self {
        let ring = Mutex::new(VecDeque::with_capacity(capacity.min(1_024)));
        Self {
            node,
            zone,
            clock: HybridClock::default(),
            capacity,
            ring,
        }
    }

    /// Returns the clock that gives the events their times.
    pub const fn clock(&self) -> &HybridClock {
        &self.clock
    }

    /// Records an event that happens now; the oldest event gives way when the ring is full.
    pub fn record(&self, kind: EventKind) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let time = self.clock.tick();
        let event = Event {
            time,
            node: self.node.clone(),
            zone: self.zone.clone(),
            kind,
        };
        if ring.len() >= self.capacity {
            ring.pop_front();
        }
        ring.push_back(event);
    }

    /// Returns the newest events that a filter selects, oldest first, at most `limit`.
    pub fn select(&self, filter: &EventFilter, limit: usize) -> Vec<Event> {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let mut found: Vec<Event> = ring
            .iter()
            .rev()
            .filter(|event| filter.selects(event))
            .take(limit)
            .cloned()
            .collect();
        found.reverse();
        found
    }
}
