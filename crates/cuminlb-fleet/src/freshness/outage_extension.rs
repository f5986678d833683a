//! The period for which a majority of nodes extends a node's right to act during an outage.

use tokio::time::Instant;

/// The period without a gap in which the reports of a majority let a node act in an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutageExtension {
    span: Option<(Instant, Instant)>,
}

impl OutageExtension {
    /// Extends the period to `until`; after a gap, a new period starts at `now`.
    pub fn extend(&mut self, now: Instant, until: Instant) {
        self.span = match self.span {
            Some((since, end)) if now < end => Some((since, end.max(until))),
            _ => Some((now, until)),
        };
    }

    /// Returns whether the extension is active at `now`.
    pub fn is_active(&self, now: Instant) -> bool {
        self.span.is_some_and(|(_, end)| now < end)
    }

    /// Returns whether the extension has been active from `start` to `now` without a gap.
    pub fn is_active_since(&self, start: Instant, now: Instant) -> bool {
        self.span
            .is_some_and(|(since, end)| since <= start && now < end)
    }
}
