//! A request that may have caused crashes.

use std::collections::BTreeSet;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Crash, CrashId};

/// How long a crash counts, in milliseconds (10 minutes).
pub const QUARANTINE_MS: Millis = Millis(600_000);

/// The number of crashes at which a request is quarantined.
const QUARANTINE_THRESHOLD_CRASHES: usize = 2;

/// The maximum number of crashes kept for one request; the oldest are removed first.
const MAX_CRASHES_PER_SUSPECT: usize = 4;

/// A request that was running at a group when the group crashed.
///
/// Copies at different nodes are merged by set union, so that the result does not depend on the
/// order in which nodes exchange them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// The crashes, oldest first.
    pub crashes: Vec<Crash>,
    /// When the request was last answered or released; crashes up to then do not count.
    pub cleared_at_ms: Option<UnixMillis>,
}

impl Suspect {
    /// Creates a suspect without crashes.
    pub const fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            crashes: Vec::new(),
            cleared_at_ms: None,
        }
    }

    /// Adds a crash; does nothing if it is known already.
    pub fn add(&mut self, crash: Crash) {
        if self.crashes.iter().any(|known| known.id == crash.id) {
            return;
        }
        self.crashes.push(crash);
        self.crashes
            .sort_by(|a, b| (a.at_ms, &a.id).cmp(&(b.at_ms, &b.id)));
        let excess = self.crashes.len().saturating_sub(MAX_CRASHES_PER_SUSPECT);
        self.crashes.drain(..excess);
    }

    /// Merges the copy of another node.
    pub fn merge(&mut self, other: &Self) {
        self.cleared_at_ms = self.cleared_at_ms.max(other.cleared_at_ms);
        for crash in &other.crashes {
            self.add(crash.clone());
        }
    }

    /// Returns whether any crash counts.
    pub fn is_suspect(&self, now_ms: UnixMillis) -> bool {
        !self.counted_crashes(now_ms).is_empty()
    }

    /// Returns whether the request is quarantined and must not be sent.
    pub fn is_quarantined(&self, now_ms: UnixMillis) -> bool {
        self.counted_crashes(now_ms).len() >= QUARANTINE_THRESHOLD_CRASHES
    }

    /// Returns when the suspect last changed.
    pub fn changed_at_ms(&self) -> UnixMillis {
        let last_crash = self.crashes.last().map(|crash| crash.at_ms);
        last_crash.max(self.cleared_at_ms).unwrap_or_default()
    }

    /// Returns the crashes that have neither expired nor been cleared.
    fn counted_crashes(&self, now_ms: UnixMillis) -> BTreeSet<&CrashId> {
        let is_counted = |crash: &&Crash| {
            let expires_at_ms = crash.at_ms.get().saturating_add(QUARANTINE_MS.get());
            Some(crash.at_ms) > self.cleared_at_ms && expires_at_ms > now_ms.get()
        };
        let counted = self.crashes.iter().filter(is_counted);
        counted.map(|crash| &crash.id).collect()
    }
}
