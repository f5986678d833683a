//! How far a caller has received a stream.

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;

use super::run_progress::RunProgress;
use super::{EventContent, EventPlace};

/// How far a caller has received a stream, and how the runs that produce it connect to that.
///
/// Each event is passed on once and in order. A run that takes over, or that is open beside the one
/// the caller's events came from, may continue after the last event or start again from the
/// beginning; if it leaves a gap, or ends before the last event, it does not connect, and the stream
/// must not look complete. Neither must it while a run is known to have begun an event that the caller
/// does not have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPosition {
    last: Option<EventId>,
    /// The run that the caller's latest events came from.
    connected: Option<AttemptNumber>,
    /// The latest event of each other run.
    latest: BTreeMap<AttemptNumber, EventId>,
    /// Whether each id so far was the one after the id before it, so that a gap can be told.
    is_consecutive: bool,
    has_pieces: bool,
    /// The latest event before one that a run broke off in, if any did.
    broken_after: Option<Option<EventId>>,
}

impl StreamPosition {
    /// Creates the position of a caller that has the events up to `last`, if any.
    pub const fn new(last: Option<EventId>) -> Self {
        Self {
            last,
            connected: None,
            latest: BTreeMap::new(),
            is_consecutive: true,
            has_pieces: false,
            broken_after: None,
        }
    }

    /// Returns the last event that the caller has.
    pub const fn last(&self) -> Option<EventId> {
        self.last
    }

    /// Decides where the next event of a run belongs, and moves on if it is passed on.
    pub fn place(
        &mut self,
        run: AttemptNumber,
        id: Option<EventId>,
        content: EventContent,
    ) -> EventPlace {
        let place = match (id, self.progress(run)) {
            (Some(id), _) if Some(id) <= self.last => EventPlace::Repeated,
            (Some(id), RunProgress::Behind(_)) if !self.may_follow(id) => EventPlace::Unconnected,
            (None, RunProgress::Behind(_)) => self.place_without_id(run, content),
            _ => EventPlace::Next,
        };
        match (id, place) {
            (Some(id), EventPlace::Next) => {
                self.is_consecutive &= self.is_successor(id);
                self.last = Some(id);
                self.connected = Some(run);
            }
            (Some(id), EventPlace::Repeated) => {
                self.latest.insert(run, id);
            }
            (None, EventPlace::Next) if content == EventContent::Piece => {
                self.connected = Some(run);
            }
            _ => {}
        }
        self.has_pieces |= place == EventPlace::Next && content == EventContent::Piece;
        place
    }

    /// Records that a run broke off inside an event, which shows that there is one more.
    pub fn record_broken_event(&mut self, run: AttemptNumber) {
        let latest = match self.progress(run) {
            RunProgress::Connected => self.last,
            RunProgress::Behind(latest) => latest,
        };
        self.broken_after = self.broken_after.max(Some(latest));
    }

    /// Returns whether a run continues what the caller has, or the caller has nothing.
    pub fn is_connected(&self, run: AttemptNumber) -> bool {
        self.progress(run) == RunProgress::Connected
    }

    /// Returns whether the stream is complete if a run ends now.
    pub fn may_end(&self, run: AttemptNumber) -> bool {
        if self.lacks_broken_event() {
            return false;
        }
        match self.progress(run) {
            RunProgress::Connected | RunProgress::Behind(None) => true,
            RunProgress::Behind(latest) => latest == self.last,
        }
    }

    /// Returns whether the caller does not have an event that a run broke off in.
    fn lacks_broken_event(&self) -> bool {
        match self.broken_after {
            Some(Some(latest)) => self.last <= Some(latest),
            Some(None) => !self.has_pieces,
            None => false,
        }
    }

    fn progress(&self, run: AttemptNumber) -> RunProgress {
        if !self.has_pieces || self.connected == Some(run) {
            RunProgress::Connected
        } else {
            RunProgress::Behind(self.latest.get(&run).copied())
        }
    }

    /// Places an event without an id of a run that has not connected yet.
    fn place_without_id(&self, run: AttemptNumber, content: EventContent) -> EventPlace {
        match content {
            EventContent::Nothing => EventPlace::Next,
            EventContent::End if self.may_end(run) => EventPlace::Next,
            EventContent::End | EventContent::Piece => EventPlace::Unconnected,
        }
    }

    /// Returns whether an event may be the one after the last that the caller has.
    fn may_follow(&self, id: EventId) -> bool {
        self.last.is_some() && (!self.is_consecutive || self.is_successor(id))
    }

    fn is_successor(&self, id: EventId) -> bool {
        match self.last {
            Some(last) => last.get().checked_add(1) == Some(id.get()),
            None => id.get() <= 1,
        }
    }
}
