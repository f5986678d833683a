//! How much of an event stream a caller has received.

use cuminlb_types::prelude::*;
use cuminlb_upstream::StreamEvent;

/// How much of an event stream a caller has received, by which an attempt shows that it continues it.
#[derive(Clone, Copy, Debug)]
pub(super) struct StreamProgress {
    /// The last event that the caller has.
    last_event: Option<EventId>,
    /// Whether the response contains an event with an id.
    has_ids: bool,
    /// Whether the response contains an event with an id or with data.
    has_events: bool,
}

impl StreamProgress {
    /// Returns the progress of a response that begins after an event that the caller already has.
    pub(super) const fn new(resume_after: Option<EventId>) -> Self {
        Self {
            last_event: resume_after,
            has_ids: false,
            has_events: false,
        }
    }

    /// Returns the last event that the caller has.
    pub(super) const fn last_event(&self) -> Option<EventId> {
        self.last_event
    }

    /// Returns whether another attempt could continue the response where it is.
    pub(super) const fn is_resumable(&self) -> bool {
        self.has_ids || !self.has_events
    }

    /// Returns whether an event shows that its attempt continues the response.
    pub(super) fn is_continued_by(&self, event: &StreamEvent) -> bool {
        match event.id() {
            Some(id) => Some(id) > self.last_event,
            None => has_data(event) && !self.has_events,
        }
    }

    /// Records that an event is sent to the caller.
    pub(super) fn record(&mut self, event: &StreamEvent) {
        let id = event.id();
        self.has_ids |= id.is_some();
        self.has_events |= id.is_some() || has_data(event);
        self.last_event = id.or(self.last_event);
    }
}

fn has_data(event: &StreamEvent) -> bool {
    match event {
        StreamEvent::Chunk { data, .. } => !data.is_empty(),
        StreamEvent::Done { .. } => true,
    }
}
