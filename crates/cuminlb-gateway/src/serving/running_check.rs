//! A check of an instance that is under way.

use cuminlb_routing::{CrashCandidates, CrashCause};
use tokio::time::Instant;

use super::request_stage::RequestStage;

/// A check that is under way.
#[derive(Debug)]
pub(super) struct RunningCheck {
    /// When the first connection was lost.
    pub(super) lost_at: Instant,
    /// What the instance was running, as far as this node knows.
    pub(super) candidates: CrashCandidates,
}

impl RunningCheck {
    pub(super) fn new(lost_at: Instant) -> Self {
        Self {
            lost_at,
            candidates: CrashCandidates::default(),
        }
    }

    /// Adds what a request contains, depending on how far it had come.
    pub(super) fn add(&mut self, causes: &[CrashCause], stage: RequestStage) {
        let candidates = match stage {
            RequestStage::Waiting => &mut self.candidates.waiting,
            RequestStage::Begun => &mut self.candidates.begun,
            RequestStage::NotSent | RequestStage::Responding => return,
        };
        candidates.extend(causes.iter().cloned());
    }
}
