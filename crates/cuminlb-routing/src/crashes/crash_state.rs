//! The crashes that a node knows of, and what follows from them.

use std::collections::HashMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use super::{CrashCandidates, CrashCause, CrashRecord, QuarantinedCause, attribute_crashes};

/// The maximum number of crashes that are kept; the oldest are removed first.
const MAX_CRASHES: usize = 48;

/// Crashes of one instance within this time are one crash that several nodes report.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(1_000);

/// The maximum number of causes whose last success is kept.
const MAX_SUCCESSES: usize = 8_192;

/// The crashes that a node knows of, and what follows from them.
#[derive(Debug, Default)]
pub(super) struct CrashState {
    pub(super) records: Vec<CrashRecord>,
    /// When each cause last ran without a crash.
    pub(super) successes: HashMap<CrashCause, Instant>,
    pub(super) quarantined: Vec<QuarantinedCause>,
    /// The turn in which this node last sent a probe of a cause.
    pub(super) probed: HashMap<CrashCause, u64>,
}

impl CrashState {
    /// Adds a crash, or the candidates of another node to a known one; returns whether that is news.
    pub(super) fn add_crash(
        &mut self,
        instance: &InstanceId,
        candidates: &CrashCandidates,
        at: Instant,
    ) -> bool {
        let is_same = |record: &&mut CrashRecord| {
            let distance = at.max(record.at).duration_since(at.min(record.at));
            record.instance == *instance && distance < SAME_CRASH_WINDOW
        };
        if let Some(record) = self.records.iter_mut().find(is_same) {
            record.at = record.at.min(at);
            return record.candidates.merge(candidates);
        }
        self.records.push(CrashRecord {
            instance: instance.clone(),
            at,
            candidates: candidates.clone(),
        });
        self.records.sort_by_key(|record| record.at);
        let excess = self.records.len().saturating_sub(MAX_CRASHES);
        self.records.drain(..excess);
        true
    }

    /// Returns whether a success at a time would clear a cause of a crash.
    pub(super) fn is_suspect(&self, cause: &CrashCause, success_at: Instant) -> bool {
        let known = self.successes.get(cause).copied();
        self.records.iter().any(|record| {
            let is_counted = known.is_none_or(|known| known <= record.at);
            is_counted && record.at < success_at && record.candidates.suspects().contains(cause)
        })
    }

    /// Draws the conclusions from the crashes again.
    pub(super) fn conclude(&mut self) {
        let successes = &self.successes;
        let quarantined = attribute_crashes(&self.records, |cause| successes.get(cause).copied());
        let contains = |list: &[QuarantinedCause], cause: &CrashCause| {
            list.iter().any(|it| it.cause == *cause)
        };
        for it in &quarantined {
            if !contains(&self.quarantined, &it.cause) {
                info!(cause:% = it.cause, crashes = self.records.len(); "cause quarantined");
            }
        }
        for it in &self.quarantined {
            if !contains(&quarantined, &it.cause) {
                info!(cause:% = it.cause; "cause released");
            }
        }
        self.probed.retain(|cause, _| contains(&quarantined, cause));
        self.quarantined = quarantined;
    }

    pub(super) fn prune_successes(&mut self) {
        if self.successes.len() <= MAX_SUCCESSES {
            return;
        }
        let mut times: Vec<Instant> = self.successes.values().copied().collect();
        times.sort_unstable();
        if let Some(&median) = times.get(times.len() / 2) {
            self.successes.retain(|_, at| *at > median);
        }
    }
}
