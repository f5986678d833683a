//! A fresh report of a group member, kept as proof that the member is up.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The proof that a member was up and in its group when it was probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the probe was sent.
    pub sent_at: Instant,
    /// The incarnation of the process that responded.
    pub incarnation: Incarnation,
    /// Whether the member has completed its cold start.
    pub warm: bool,
    /// The number of requests that the member was running.
    pub running: SlotCount,
    /// Whether a later probe showed that the member is no longer up in its group.
    pub withdrawn: bool,
}

impl Proof {
    /// Returns whether the proof is still valid: neither withdrawn nor older than `max_age_ms`.
    pub fn is_fresh(&self, now: Instant, max_age_ms: Millis) -> bool {
        !self.withdrawn && now.saturating_duration_since(self.sent_at) <= max_age_ms.duration()
    }
}
