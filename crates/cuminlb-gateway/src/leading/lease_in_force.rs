//! [`LeaseInForce`].

use cuminlb_fleet::lease::HeldLease;
use tokio::time::Instant;

use super::boot_time::BootTime;

/// The lease of this node as the task that acts on it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LeaseInForce {
    pub(super) held: HeldLease,
    /// The end of the lease on a clock that counts the time of a suspended machine.
    until: BootTime,
}

impl LeaseInForce {
    pub(super) fn new(held: HeldLease) -> Self {
        let left = held.valid_until.saturating_duration_since(Instant::now());
        let until = BootTime::now().after(left);
        Self { held, until }
    }

    /// Tells whether this node may still act.
    pub(super) fn is_valid(&self, now: Instant) -> bool {
        self.held.is_valid(now) && BootTime::now() < self.until
    }
}
