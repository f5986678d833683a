//! The time bounds for knowledge of the table and for reports about it.

use cuminlb_types::prelude::*;

/// The time bounds by which nodes evaluate their knowledge of the table; the same on every node.
///
/// `silence_ms` is longer than `report_validity_ms` and `notice_round_ms` together, so that a node
/// that received a notice of a read of the table reports no silence while an earlier report of
/// silence is still valid. The difference allows for clocks that run at different rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreshnessBounds {
    /// The age up to which knowledge of the table is fresh.
    pub freshness_ms: Millis,
    /// The age of the last contact from which a node reports that the table is silent.
    pub silence_ms: Millis,
    /// How long a report of silence is valid, counted from before it was requested.
    pub report_validity_ms: Millis,
    /// The longest time from a read of the table to the end of the round of notices that
    /// follows it.
    pub notice_round_ms: Millis,
}

impl FreshnessBounds {
    /// Derives all bounds from the age up to which knowledge of the table is fresh.
    pub const fn new(freshness_ms: Millis) -> Self {
        let total_ms = freshness_ms.get();
        Self {
            freshness_ms,
            silence_ms: Millis(total_ms * 3 / 7),
            report_validity_ms: Millis(total_ms * 2 / 7),
            notice_round_ms: Millis(total_ms / 10),
        }
    }

    /// Returns the time from one round of requests for reports to the next.
    pub const fn pull_period_ms(&self) -> Millis {
        Millis(self.report_validity_ms.get() / 4)
    }
}
