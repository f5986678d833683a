//! [`LeaseTerms`].

use cuminlb_types::prelude::*;

/// The length of a lease and the part that its holder leaves unused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTerms {
    /// The length that stands in the row.
    pub length_ms: Millis,
    /// The part at the end that the holder leaves unused.
    pub margin_ms: Millis,
}

impl LeaseTerms {
    /// Returns the time from one renewal to the next: a third of what the holder uses.
    pub const fn renewal_period_ms(&self) -> Millis {
        Millis(self.length_ms.saturating_sub(self.margin_ms).get() / 3)
    }
}
