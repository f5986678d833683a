//! The ring buffer behind the event log.

use std::collections::VecDeque;

use crate::Event;

/// A ring buffer of the newest events of one category.
#[derive(Debug)]
pub(crate) struct EventRing {
    events: VecDeque<Event>,
    capacity: usize,
}

impl EventRing {
    /// Creates an empty ring that keeps at most `capacity` events.
    pub(crate) const fn new(capacity: usize) -> Self {
        Self {
            events: VecDeque::new(),
            capacity,
        }
    }

    /// Adds an event; evicts the oldest one if the ring is full.
    pub(crate) fn push(&mut self, event: Event) {
        if self.capacity == 0 {
            return;
        }
        if self.events.len() >= self.capacity {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    /// Returns the events, oldest first.
    pub(crate) fn iter(&self) -> impl DoubleEndedIterator<Item = &Event> {
        self.events.iter()
    }
}
