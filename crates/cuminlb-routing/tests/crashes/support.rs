//! Short ways to name causes, instances and crashes.

use cuminlb_routing::{CrashCandidates, CrashCause, CrashRecord};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

pub fn part(name: &str) -> CrashCause {
    CrashCause::PromptPart(name.parse().unwrap())
}

pub fn request(name: &str) -> CrashCause {
    CrashCause::Request(name.parse().unwrap())
}

pub fn instance(name: &str) -> InstanceId {
    name.parse().unwrap()
}

pub fn node(number: usize) -> NodeId {
    format!("n{number}").parse().unwrap()
}

/// Returns the candidates of a crash of which all requests had begun.
pub fn begun(causes: &[CrashCause]) -> CrashCandidates {
    CrashCandidates {
        begun: causes.iter().cloned().collect(),
        ..CrashCandidates::default()
    }
}

/// Returns the candidates of a crash of which all requests waited.
pub fn waiting(causes: &[CrashCause]) -> CrashCandidates {
    CrashCandidates {
        waiting: causes.iter().cloned().collect(),
        ..CrashCandidates::default()
    }
}

pub fn crash(name: &str, at: Instant, candidates: CrashCandidates) -> CrashRecord {
    CrashRecord {
        instance: instance(name),
        epoch: Epoch(1),
        at,
        candidates,
    }
}
