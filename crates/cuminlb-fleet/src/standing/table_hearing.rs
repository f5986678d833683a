//! [`TableHearing`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{StandingBounds, TableStatement};

/// When a node last heard the table.
///
/// Two times are kept, because they err on opposite sides. `confirmed_at` is never later than the
/// read that it stands for. `heard_at` is never earlier than the last sign that anyone reads the
/// table, and bars statements of silence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableHearing {
    confirmed_at: Option<Instant>,
    heard_at: Option<Instant>,
    has_read: bool,
}

impl TableHearing {
    /// Notes a read of the configuration that was sent at `sent_at` and answered at `now`.
    pub fn note_read(&mut self, sent_at: Instant, now: Instant) {
        self.has_read = true;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.note_heard(now);
    }

    /// Notes that the table gave an answer of any kind at `now`.
    pub fn note_heard(&mut self, now: Instant) {
        self.heard_at = self.heard_at.max(Some(now));
    }

    /// Notes the statement of a peer that was asked at `sent_at`.
    ///
    /// The age counts from before the question, so a late answer makes the knowledge look older,
    /// never newer. It confirms this node only if its configuration is the peer's newest.
    pub fn note_answer(&mut self, sent_at: Instant, said: &TableStatement, config: ConfigVersion) {
        let age = said.table_age_ms.map(Millis::duration);
        let read_at = age.and_then(|age| sent_at.checked_sub(age));
        self.heard_at = self.heard_at.max(read_at);
        if config >= said.newest_config {
            self.confirmed_at = self.confirmed_at.max(read_at);
        }
    }

    /// Notes the notice of a peer that it read the table `read_age_ms` before it sent the notice.
    ///
    /// The notice may have been under way for any time, so it confirms nothing.
    pub fn note_notice(&mut self, now: Instant, read_age_ms: Millis) {
        let read_at = now.checked_sub(read_age_ms.duration());
        self.heard_at = self.heard_at.max(read_at);
    }

    /// Returns the age of the confirmed knowledge, or `None` before the first.
    pub fn age_ms(&self, now: Instant) -> Option<Millis> {
        let rounded_up = |at| Millis::from(now.duration_since(at)) + Millis(1);
        self.confirmed_at.map(rounded_up)
    }

    /// Tells whether the confirmed knowledge is fresh.
    pub fn is_fresh(&self, now: Instant, bounds: &StandingBounds) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.duration_since(at) <= bounds.freshness_ms.duration())
    }

    /// Tells whether the node may state that the table is silent. A node that has not read the
    /// table since its start may have forgotten what it promised before, and states nothing.
    pub fn is_silent(&self, now: Instant, bounds: &StandingBounds) -> bool {
        let is_old = |at| now.duration_since(at) > bounds.silence_ms.duration();
        self.has_read && self.heard_at.is_some_and(is_old)
    }
}
