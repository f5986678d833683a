//! [`Clearance`].

use tokio::time::Instant;

use super::{Quorum, StandingBounds};

/// The right to take over a lapsed lease, gathered from the listed nodes.
///
/// Each of the nodes told states no silence until the statements that were asked for before the
/// gathering have run out. So at [`Self::effective_at`] no node is covered, and a holder that
/// relied on its cover has lost its lease for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clearance {
    effective_at: Instant,
}

impl Clearance {
    /// Judges a gathering that ended at `now`, after a read of the table that was sent at
    /// `read_sent_at`; `told` nodes answered, the gatherer included.
    pub fn judge(
        read_sent_at: Instant,
        now: Instant,
        told: usize,
        listed: usize,
        bounds: &StandingBounds,
    ) -> Option<Self> {
        let was_quick = now.duration_since(read_sent_at) <= bounds.gather_ms.duration();
        let were_enough = told >= Quorum::of(listed).to_take_away();
        (was_quick && were_enough).then(|| Self {
            effective_at: now + bounds.statement_ms.duration(),
        })
    }

    /// Returns the time from which the right counts.
    pub const fn effective_at(&self) -> Instant {
        self.effective_at
    }

    /// Tells whether a lease that lapses at `lapses_at` may be taken over at `now`.
    pub fn allows(&self, lapses_at: Instant, now: Instant) -> bool {
        self.effective_at >= lapses_at && now >= self.effective_at
    }
}
