//! [`Replacement`].

use tokio::time::Instant;

use super::{Quorum, StandingBounds};

/// A configuration that is known to be committed, and what is known of those who lack it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Replacement {
    committed_by: Instant,
    told_by: Option<Instant>,
}

impl Replacement {
    /// Starts with the time at which the commit was known.
    pub const fn new(committed_by: Instant) -> Self {
        Self {
            committed_by,
            told_by: None,
        }
    }

    /// Notes that `told` of the listed nodes, this one included, know the version by `now`.
    pub fn note_told(&mut self, told: usize, listed: usize, now: Instant) {
        if self.told_by.is_none() && told >= Quorum::of(listed).to_take_away() {
            self.told_by = Some(now);
        }
    }

    /// Returns the time from which every node that lacks the version has provably stopped: its
    /// knowledge from before the commit is no longer fresh, and no majority covers it. `None`
    /// while too few nodes know the version.
    pub fn stopped_at(&self, bounds: &StandingBounds) -> Option<Instant> {
        let stale_at = self.committed_by + bounds.freshness_ms.duration();
        let uncovered_at = self.told_by? + bounds.statement_ms.duration();
        Some(stale_at.max(uncovered_at))
    }
}
