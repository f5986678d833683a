//! A lease from the point of view of its holder.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::LeaseTiming;

/// A lease as its holder knows it. `V` is the version of its row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease<V = RowVersion> {
    /// The fencing number, which is the same from acquisition through all renewals.
    pub fencing: FencingNumber,
    /// The version of the row that this holder last wrote.
    pub version: V,
    /// The end of the time in which the holder may act.
    pub valid_until: Instant,
}

impl<V> HeldLease<V> {
    /// Creates the state of a lease that was acquired or renewed by a write sent at `sent_at`.
    pub fn new(fencing: FencingNumber, version: V, sent_at: Instant, timing: &LeaseTiming) -> Self {
        let usable_ms = timing.length_ms.saturating_sub(timing.margin_ms);
        Self {
            fencing,
            version,
            valid_until: sent_at + usable_ms.duration(),
        }
    }

    /// Returns whether the holder may still act.
    pub fn is_valid(&self, now: Instant) -> bool {
        now < self.valid_until
    }
}
