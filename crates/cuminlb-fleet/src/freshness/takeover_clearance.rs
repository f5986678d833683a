//! The permission that a node needs before it takes over an expired lease from another node.

use tokio::time::Instant;

use super::{FreshnessBounds, Quorum};

/// The permission to take over an expired lease, obtained by a round of notices to the listed
/// nodes.
///
/// A notified node reports no silence until the reports of silence that were requested before the
/// round have expired. So at [`Self::effective_at`] no node has an outage extension, and a holder
/// that relied on its extension has lost its lease for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverClearance {
    effective_at: Instant,
}

impl TakeoverClearance {
    /// Evaluates a round of notices that ended at `now` and followed a read of the table that was
    /// sent at `read_sent_at`; `notified` nodes acknowledged the notice, the sender included.
    ///
    /// Returns `None` if the round took too long or notified too few nodes.
    pub fn evaluate(
        read_sent_at: Instant,
        now: Instant,
        notified: usize,
        listed: usize,
        bounds: &FreshnessBounds,
    ) -> Option<Self> {
        let is_in_time = now.duration_since(read_sent_at) <= bounds.notice_round_ms.duration();
        let has_quorum = notified >= Quorum::of(listed).to_revoke();
        (is_in_time && has_quorum).then(|| Self {
            effective_at: now + bounds.report_validity_ms.duration(),
        })
    }

    /// Returns the time from which the permission is effective.
    pub const fn effective_at(&self) -> Instant {
        self.effective_at
    }

    /// Returns whether a lease that expires at `expires_at` may be taken over at `now`.
    pub fn allows(&self, expires_at: Instant, now: Instant) -> bool {
        self.effective_at >= expires_at && now >= self.effective_at
    }
}
