//! [`HeldLease`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::LeaseTerms;

/// A lease as its holder knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The fencing number of this holding.
    pub fencing: FencingNumber,
    /// The version of the row that this holder last wrote.
    pub version: RowVersion,
    /// The end of the time in which the holder may act.
    pub valid_until: Instant,
}

impl HeldLease {
    /// Starts or extends a holding by a write that was sent at `sent_at`.
    pub fn new(
        fencing: FencingNumber,
        version: RowVersion,
        sent_at: Instant,
        terms: &LeaseTerms,
    ) -> Self {
        let used = terms.length_ms.saturating_sub(terms.margin_ms);
        Self {
            fencing,
            version,
            valid_until: sent_at + used.duration(),
        }
    }

    /// Tells whether the holder may still act.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}
