//! [`Proof`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The proof that a member was up and in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// When the probe that was answered was sent.
    pub at: Instant,
    /// The start of the process that answered.
    pub incarnation: Incarnation,
    /// Whether the member has left its cold start behind.
    pub warm: bool,
    /// The number of requests that the member ran.
    pub running: SlotCount,
}

impl Proof {
    /// Tells whether the proof still counts.
    pub fn is_fresh(&self, now: Instant, max_age_ms: Millis) -> bool {
        now.saturating_duration_since(self.at) <= max_age_ms.duration()
    }
}
