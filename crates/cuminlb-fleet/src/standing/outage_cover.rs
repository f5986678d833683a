//! [`OutageCover`].

use tokio::time::Instant;

/// The time in which a node is covered by the statements of a majority, without a gap.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutageCover {
    span: Option<(Instant, Instant)>,
}

impl OutageCover {
    /// Extends the cover; after a gap it begins anew at `now`.
    pub fn extend(&mut self, now: Instant, until: Instant) {
        self.span = match self.span {
            Some((since, end)) if now < end => Some((since, end.max(until))),
            _ => Some((now, until)),
        };
    }

    /// Tells whether the node is covered at `now`.
    pub fn is_covered(&self, now: Instant) -> bool {
        self.span.is_some_and(|(_, end)| now < end)
    }

    /// Tells whether the node has been covered from `start` to `now` without a gap.
    pub fn is_covered_since(&self, start: Instant, now: Instant) -> bool {
        self.span
            .is_some_and(|(since, end)| since <= start && now < end)
    }
}
