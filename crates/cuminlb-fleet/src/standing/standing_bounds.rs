//! [`StandingBounds`].

use cuminlb_types::prelude::*;

/// The bounds by which nodes judge their knowledge of the table; the same on every node.
///
/// The silence is longer than a statement and a gathering together, so that a node that heard of
/// the table in a gathering makes no statement of silence while an earlier one still counts. The
/// difference allows for clocks that run at different rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StandingBounds {
    /// The age up to which knowledge of the table is fresh.
    pub freshness_ms: Millis,
    /// The age of the last hearing from which a node states that the table is silent.
    pub silence_ms: Millis,
    /// How long a statement of silence counts, from before it was asked for.
    pub statement_ms: Millis,
    /// The longest time from a read of the table to the end of a gathering that follows it.
    pub gather_ms: Millis,
}

impl StandingBounds {
    /// Derives all bounds from the age up to which knowledge of the table is fresh.
    pub const fn new(freshness_ms: Millis) -> Self {
        let whole_ms = freshness_ms.get();
        Self {
            freshness_ms,
            silence_ms: Millis(whole_ms * 3 / 7),
            statement_ms: Millis(whole_ms * 2 / 7),
            gather_ms: Millis(whole_ms / 10),
        }
    }

    /// Returns the time from one round of asking for statements to the next.
    pub const fn pull_period_ms(&self) -> Millis {
        Millis(self.statement_ms.get() / 4)
    }
}
