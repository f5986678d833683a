//! Decides from the outcomes of probes whether a member of a group has failed.

use cuminlb_events::DissolveCause;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::probe_outcome::ProbeOutcome;

/// The time without any proof after which a member counts as missing, in multiples of the maximum
/// age of a proof.
const MISSING_AFTER_PROOF_AGES: u32 = 2;

/// The number of consecutive refused probes after which a member counts as missing.
const MISSING_AFTER_REFUSALS: u32 = 2;

/// The number of consecutive slow responses after which a member counts as missing.
const MISSING_AFTER_SLOW_RESPONSES: u32 = 4;

/// The health of one member at one epoch, as the owner of the group has observed it.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberHealth {
    last_proof_at: Instant,
    restarted: bool,
    refusals: u32,
    slow_responses: u32,
}

impl MemberHealth {
    /// Starts without any observation; `now` counts as the time of the last proof.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            last_proof_at: now,
            restarted: false,
            refusals: 0,
            slow_responses: 0,
        }
    }

    /// Records the outcome of a probe. A response that took at least half the maximum age of a
    /// proof counts as slow.
    pub(super) fn record(&mut self, outcome: ProbeOutcome, proof_max_age_ms: Millis) {
        match outcome {
            ProbeOutcome::Proved { sent_at, took } => {
                self.last_proof_at = self.last_proof_at.max(sent_at);
                self.refusals = 0;
                let is_slow = took >= proof_max_age_ms.duration() / 2;
                self.slow_responses = if is_slow { self.slow_responses + 1 } else { 0 };
            }
            ProbeOutcome::Joining => self.refusals = 0,
            ProbeOutcome::Restarted => self.restarted = true,
            ProbeOutcome::Refused => self.refusals += 1,
            ProbeOutcome::Silent => {}
        }
    }

    /// Returns why the group cannot continue with the member, or `None` where it can.
    pub(super) fn failure(
        &self,
        member: &InstanceId,
        now: Instant,
        proof_max_age_ms: Millis,
    ) -> Option<DissolveCause> {
        let instance = member.clone();
        if self.restarted {
            return Some(DissolveCause::MemberRestarted { instance });
        }
        let limit = proof_max_age_ms.duration() * MISSING_AFTER_PROOF_AGES;
        let is_missing = now.saturating_duration_since(self.last_proof_at) > limit
            || self.refusals >= MISSING_AFTER_REFUSALS
            || self.slow_responses >= MISSING_AFTER_SLOW_RESPONSES;
        is_missing.then_some(DissolveCause::MemberMissing { instance })
    }
}
