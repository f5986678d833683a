//! [`MemberWatch`].

use cuminlb_events::DissolveCause;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::probe_outcome::ProbeOutcome;

/// The time without any proof after which a member is missing, in proof ages.
const MISSING_AFTER_PROOF_AGES: u32 = 2;

/// The number of refused probes in a row after which a member is missing.
const MISSING_AFTER_REFUSALS: u32 = 2;

/// The number of slow answers in a row after which a member is missing.
const MISSING_AFTER_SLOW_ANSWERS: u32 = 4;

/// What the owner of a group has seen of one member at one epoch.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemberWatch {
    last_proof_at: Instant,
    restarted: bool,
    refusals: u32,
    slow_answers: u32,
}

impl MemberWatch {
    /// Starts to watch a member.
    pub(super) const fn new(now: Instant) -> Self {
        Self {
            last_proof_at: now,
            restarted: false,
            refusals: 0,
            slow_answers: 0,
        }
    }

    /// Takes in what a probe found; an answer counts as slow from half the age of a proof.
    pub(super) fn note(&mut self, outcome: ProbeOutcome, proof_max_age_ms: Millis) {
        match outcome {
            ProbeOutcome::Proved { sent_at, took } => {
                self.last_proof_at = self.last_proof_at.max(sent_at);
                self.refusals = 0;
                let is_slow = took >= proof_max_age_ms.duration() / 2;
                self.slow_answers = if is_slow { self.slow_answers + 1 } else { 0 };
            }
            ProbeOutcome::Joining => self.refusals = 0,
            ProbeOutcome::Restarted => self.restarted = true,
            ProbeOutcome::Refused => self.refusals += 1,
            ProbeOutcome::Silent => {}
        }
    }

    /// Returns why the group can't go on with the member, or `None` where it can.
    pub(super) fn fault(
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
            || self.slow_answers >= MISSING_AFTER_SLOW_ANSWERS;
        is_missing.then_some(DissolveCause::MemberMissing { instance })
    }
}
