//! [`EventRing`].

use std::collections::VecDeque;

use crate::Event;

/// The newest events of one sort; the oldest gives way when the ring is full.
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

    /// Adds an event; the oldest one gives way when the ring is full.
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
