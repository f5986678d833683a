//! The crashes that a node knows of, and what follows from them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use super::{
    CauseReport, CrashCause, CrashRecord, CrashReport, QuarantinedCause, ReportedCrash,
    attribute_crashes,
};

/// The maximum number of crashes that are kept; the oldest are removed first.
const MAX_CRASHES: usize = 48;

/// The epoch of an instance that serves without a group.
const NO_GROUP: Epoch = Epoch(0);

/// Crashes of an instance without a group within this time are one crash that several nodes report.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(1_000);

/// The maximum number of causes whose last success is kept.
const MAX_SUCCESSES: usize = 8_192;

/// The age up to which peers are told all about a crash or a success.
pub(super) const RECENT_AGE: Duration = Duration::from_secs(10);

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
    pub(super) fn add_crash(&mut self, crash: CrashRecord) -> bool {
        let is_same = |known: &&mut CrashRecord| is_same_crash(known, &crash);
        if let Some(known) = self.records.iter_mut().find(is_same) {
            known.at = known.at.min(crash.at);
            return known.candidates.merge(&crash.candidates);
        }
        self.records.push(crash);
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

    /// Returns what peers need to know.
    pub(super) fn report(&self, now: Instant) -> CrashReport {
        let age_ms = |at: Instant| Millis::from(now.duration_since(at));
        let is_recent = |at: Instant| now.duration_since(at) < RECENT_AGE;
        let is_quarantined =
            |cause: &CrashCause| self.quarantined.iter().any(|it| it.cause == *cause);
        let mut crashes = Vec::new();
        let mut suspects = BTreeSet::new();
        for record in &self.records {
            suspects.extend(record.candidates.suspects());
            let candidates = if is_recent(record.at) {
                record.candidates.only_suspects(|_| true)
            } else {
                record.candidates.only_suspects(is_quarantined)
            };
            if !candidates.is_empty() {
                crashes.push(ReportedCrash {
                    instance: record.instance.clone(),
                    epoch: record.epoch,
                    age_ms: age_ms(record.at),
                    candidates,
                });
            }
        }
        let successes = suspects.into_iter().filter_map(|cause| {
            let at = *self.successes.get(cause)?;
            is_recent(at).then(|| CauseReport {
                cause: cause.clone(),
                success_age_ms: age_ms(at),
            })
        });
        CrashReport {
            crashes,
            causes: successes.collect(),
        }
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

/// Returns whether two reports are about one crash. A head crashes once in an epoch, however old a node
/// that was paused meanwhile takes the crash to be.
fn is_same_crash(one: &CrashRecord, other: &CrashRecord) -> bool {
    if one.instance != other.instance || one.epoch != other.epoch {
        return false;
    }
    let distance = one.at.max(other.at).duration_since(one.at.min(other.at));
    one.epoch != NO_GROUP || distance < SAME_CRASH_WINDOW
}
