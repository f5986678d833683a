//! [`Suspect`].

use std::collections::BTreeSet;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{Crash, CrashId};

/// How long a crash counts.
pub const QUARANTINE_MS: Millis = Millis(600_000);

/// The number of crashed groups at which a request is quarantined.
const MAX_CRASHED_GROUPS: usize = 2;

/// The number of crashes that are kept of one request.
const MAX_CRASHES: usize = 4;

/// A request that ran at a group while it crashed.
///
/// Copies at different nodes are merged by union, so that the order in which nodes hear of each
/// other does not matter.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The crashes, the oldest first.
    pub crashes: Vec<Crash>,
    /// When the request was last answered or released; earlier crashes do not count.
    pub cleared_at_ms: Option<UnixMillis>,
}

impl Suspect {
    /// Starts without any crash.
    pub const fn new(fingerprint: RequestFingerprint) -> Self {
        Self {
            fingerprint,
            crashes: Vec::new(),
            cleared_at_ms: None,
        }
    }

    /// Adds a crash; one that is known changes nothing.
    pub fn add(&mut self, crash: Crash) {
        if self.crashes.iter().any(|known| known.id == crash.id) {
            return;
        }
        self.crashes.push(crash);
        self.crashes
            .sort_by(|a, b| (a.at_ms, &a.id).cmp(&(b.at_ms, &b.id)));
        let surplus = self.crashes.len().saturating_sub(MAX_CRASHES);
        self.crashes.drain(..surplus);
    }

    /// Takes in what another node knows.
    pub fn merge(&mut self, other: &Self) {
        self.cleared_at_ms = self.cleared_at_ms.max(other.cleared_at_ms);
        for crash in &other.crashes {
            self.add(crash.clone());
        }
    }

    /// Tells whether any crash counts.
    pub fn is_suspect(&self, now_ms: UnixMillis) -> bool {
        !self.counted(now_ms).is_empty()
    }

    /// Tells whether the request may not be sent.
    pub fn is_quarantined(&self, now_ms: UnixMillis) -> bool {
        self.counted(now_ms).len() >= MAX_CRASHED_GROUPS
    }

    /// Returns when the suspect last changed.
    pub fn changed_at_ms(&self) -> UnixMillis {
        let last_crash = self.crashes.last().map(|crash| crash.at_ms);
        last_crash.max(self.cleared_at_ms).unwrap_or_default()
    }

    fn counted(&self, now_ms: UnixMillis) -> BTreeSet<&CrashId> {
        let counts = |crash: &&Crash| {
            let ends_at_ms = crash.at_ms.get().saturating_add(QUARANTINE_MS.get());
            Some(crash.at_ms) > self.cleared_at_ms && ends_at_ms > now_ms.get()
        };
        let counted = self.crashes.iter().filter(counts);
        counted.map(|crash| &crash.id).collect()
    }
}
