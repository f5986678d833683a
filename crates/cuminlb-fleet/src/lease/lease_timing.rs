//! The length of a lease, its safety margin and its renewal period.

use cuminlb_types::prelude::*;

/// The length of a lease and the safety margin that its holder leaves unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    /// The length that is written to the row.
    pub length_ms: Millis,
    /// The time at the end of the lease in which the holder no longer acts.
    pub margin_ms: Millis,
}

impl LeaseTiming {
    /// Returns the time from one renewal to the next: a third of the time that the holder uses.
    pub const fn renewal_period_ms(&self) -> Millis {
        Millis(self.length_ms.saturating_sub(self.margin_ms).get() / 3)
    }
}
