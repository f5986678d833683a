//! The lease as the leading task checks it before it acts.

use cuminlb_fleet::lease::HeldLease;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::boot_time::BootTime;

/// The lease of this node as seen by the task that acts on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ActiveLease {
    pub(super) held: HeldLease<StoreVersion>,
    /// The end of the lease on a clock that includes the time in which the machine was suspended.
    valid_until: BootTime,
}

impl ActiveLease {
    pub(super) fn new(held: HeldLease<StoreVersion>) -> Self {
        let remaining = held.valid_until.saturating_duration_since(Instant::now());
        let valid_until = BootTime::now().after(remaining);
        Self { held, valid_until }
    }

    /// Returns whether this node may still act.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        self.held.is_valid(now) && BootTime::now() < self.valid_until
    }
}
