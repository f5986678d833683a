//! Determines when nodes that lack a newly committed configuration have provably stopped.

use tokio::time::Instant;

use super::{FreshnessBounds, Quorum};

/// A configuration that is known to be committed, and whether enough nodes know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConfigReplacement {
    committed_by: Instant,
    notified_by: Option<Instant>,
}

impl ConfigReplacement {
    /// Creates the state for a commit that was known at `committed_by`.
    pub const fn new(committed_by: Instant) -> Self {
        Self {
            committed_by,
            notified_by: None,
        }
    }

    /// Records that `notified` of the `listed` nodes, this one included, know the version at
    /// `now`.
    pub fn record_notified(&mut self, notified: usize, listed: usize, now: Instant) {
        if self.notified_by.is_none() && notified >= Quorum::of(listed).to_revoke() {
            self.notified_by = Some(now);
        }
    }

    /// Returns the time from which every node that lacks the version has provably stopped: its
    /// knowledge from before the commit is no longer fresh, and no majority extends its right to
    /// act. Returns `None` while too few nodes know the version.
    pub fn stopped_at(&self, bounds: &FreshnessBounds) -> Option<Instant> {
        let stale_at = self.committed_by + bounds.freshness_ms.duration();
        let extension_ends_at = self.notified_by? + bounds.report_validity_ms.duration();
        Some(stale_at.max(extension_ends_at))
    }
}
