//! The crashes that nodes report to each other, and what they conclude from them.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

use super::crash_state::{CrashState, RECENT_AGE};
use super::{
    CauseReport, CrashCause, CrashRecord, CrashReport, CrashVerdict, ProbeSchedule,
    QuarantinedCause,
};

/// How long a crash counts.
const CRASH_VALIDITY: Duration = Duration::from_secs(600);

/// The crashes known to a node: its own and those reported by its peers.
///
/// Copies at different nodes are merged by union, so that the result does not depend on the order in
/// which nodes exchange them.
#[derive(Debug)]
pub struct CrashBoard {
    state: Mutex<CrashState>,
    /// The number of changes that peers should be told.
    changes: watch::Sender<u64>,
}

impl Default for CrashBoard {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }
}

impl CrashBoard {
    /// Records that an instance crashed, and what may have caused it.
    pub fn record_crash(&self, crash: CrashRecord) {
        if crash.candidates.is_empty() {
            return;
        }
        let mut state = self.state();
        if state.add_crash(crash) {
            state.conclude();
            self.notify(state);
        }
    }

    /// Records that an instance responds to a request with these causes.
    pub fn record_success(&self, causes: &[CrashCause], now: Instant) {
        let mut state = self.state();
        let mut is_news = false;
        for cause in causes {
            is_news |= state.is_suspect(cause, now);
            state.successes.insert(cause.clone(), now);
        }
        state.prune_successes();
        if is_news {
            state.conclude();
            self.notify(state);
        }
    }

    /// Returns whether any crash is known.
    pub fn has_crashes(&self) -> bool {
        !self.state().records.is_empty()
    }

    /// Returns the causes that must not be sent.
    pub fn quarantined(&self) -> Vec<QuarantinedCause> {
        self.state().quarantined.clone()
    }

    /// Decides whether a request with these causes may be sent by node `own_id`. Of all `nodes`, one
    /// at a time lets a request with a quarantined cause through.
    pub fn verdict<'a>(
        &self,
        causes: &[CrashCause],
        own_id: &NodeId,
        nodes: impl Iterator<Item = &'a NodeId>,
        now: Instant,
    ) -> CrashVerdict {
        let mut state = self.state();
        let is_contained = |it: &&QuarantinedCause| causes.contains(&it.cause);
        let Some(quarantined) = state.quarantined.iter().find(is_contained) else {
            return CrashVerdict::Allowed;
        };
        let cause = quarantined.cause.clone();
        let schedule = ProbeSchedule::new(quarantined);
        let turn = schedule.turn(now).filter(|turn| {
            let is_unused = state.probed.get(&cause).is_none_or(|used| used != turn);
            is_unused && ProbeSchedule::is_turn_of(&cause, *turn, own_id, nodes)
        });
        match turn {
            Some(turn) => {
                state.probed.insert(cause.clone(), turn);
                CrashVerdict::Probe { cause }
            }
            None => CrashVerdict::Quarantined {
                cause,
                retry_after_ms: schedule.wait_ms(now),
            },
        }
    }

    /// Returns whether a request with these causes must not be sent, not even as a probe.
    pub fn is_quarantined(&self, causes: &[CrashCause]) -> bool {
        let state = self.state();
        let mut quarantined = state.quarantined.iter();
        quarantined.any(|it| causes.contains(&it.cause))
    }

    /// Returns what peers need to know: recent crashes and successes as a whole, and of older crashes
    /// only the causes that are quarantined.
    pub fn report(&self, now: Instant) -> CrashReport {
        self.state().report(now)
    }

    /// Returns whether peers should be told again although there is no news, because some may have
    /// restarted or were cut off.
    pub fn needs_repeating(&self, now: Instant) -> bool {
        let state = self.state();
        let newest = state.records.last();
        let is_recent = newest.is_some_and(|record| now.duration_since(record.at) < RECENT_AGE);
        is_recent || !state.quarantined.is_empty()
    }

    /// Adds what a peer reports.
    pub fn merge(&self, report: &CrashReport, now: Instant) {
        let mut state = self.state();
        let mut is_news = false;
        let time = |age_ms: Millis| now.checked_sub(age_ms.duration());
        for crash in &report.crashes {
            if let Some(at) = time(crash.age_ms) {
                is_news |= state.add_crash(CrashRecord {
                    instance: crash.instance.clone(),
                    epoch: crash.epoch,
                    at,
                    candidates: crash.candidates.clone(),
                });
            }
        }
        for CauseReport {
            cause,
            success_age_ms,
        } in &report.causes
        {
            let Some(at) = time(*success_age_ms) else {
                continue;
            };
            let known = state.successes.get(cause);
            if known.is_none_or(|known| *known < at) {
                is_news |= state.is_suspect(cause, at);
                state.successes.insert(cause.clone(), at);
            }
        }
        state.prune_successes();
        if is_news {
            state.conclude();
            self.notify(state);
        }
    }

    /// Forgets the crashes that no longer count.
    pub fn remove_expired(&self, now: Instant) {
        let mut state = self.state();
        let is_valid = |record: &CrashRecord| now.duration_since(record.at) < CRASH_VALIDITY;
        if !state.records.iter().all(is_valid) {
            state.records.retain(is_valid);
            state.conclude();
        }
    }

    /// Returns a receiver that is notified when there is something to tell the peers.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn notify(&self, state: MutexGuard<'_, CrashState>) {
        drop(state);
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn state(&self) -> MutexGuard<'_, CrashState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
