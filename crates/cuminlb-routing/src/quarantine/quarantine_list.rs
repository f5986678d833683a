//! The suspects known to a node.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use super::{Crash, Suspect};

/// The maximum number of suspects that a node keeps; the least recently changed are removed first.
const MAX_SUSPECTS: usize = 1_024;

/// The maximum number of suspects in one message to a peer.
const MAX_SHARED_SUSPECTS: usize = 64;

/// The suspects known to a node: its own and those reported by its peers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Mutex<HashMap<RequestFingerprint, Suspect>>,
}

impl Quarantine {
    /// Records that a group crashed while it ran the request.
    pub fn record_crash(&self, fingerprint: &RequestFingerprint, crash: Crash) {
        let mut suspect = Suspect::new(fingerprint.clone());
        suspect.add(crash);
        self.merge(&[suspect]);
    }

    /// Clears a request, because it was answered or an operator released it.
    pub fn clear(&self, fingerprint: &RequestFingerprint, now_ms: UnixMillis) {
        if let Some(suspect) = self.lock().get_mut(fingerprint) {
            suspect.cleared_at_ms = suspect.cleared_at_ms.max(Some(now_ms));
        }
    }

    /// Returns whether a group crashed while it ran the request, and the crash still counts.
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint, now_ms: UnixMillis) -> bool {
        let suspects = self.lock();
        suspects
            .get(fingerprint)
            .is_some_and(|suspect| suspect.is_suspect(now_ms))
    }

    /// Returns whether the request is quarantined and must not be sent.
    pub fn is_quarantined(&self, fingerprint: &RequestFingerprint, now_ms: UnixMillis) -> bool {
        let suspects = self.lock();
        suspects
            .get(fingerprint)
            .is_some_and(|suspect| suspect.is_quarantined(now_ms))
    }

    /// Returns the most recently changed suspects, for peers and operators.
    pub fn newest(&self) -> Vec<Suspect> {
        let mut suspects: Vec<Suspect> = self.lock().values().cloned().collect();
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.changed_at_ms()));
        suspects.truncate(MAX_SHARED_SUSPECTS);
        suspects
    }

    /// Merges the suspects reported by a peer.
    pub fn merge(&self, others: &[Suspect]) {
        let mut suspects = self.lock();
        for other in others {
            suspects
                .entry(other.fingerprint.clone())
                .or_insert_with(|| Suspect::new(other.fingerprint.clone()))
                .merge(other);
        }
        while suspects.len() > MAX_SUSPECTS {
            let oldest = suspects
                .values()
                .min_by_key(|suspect| suspect.changed_at_ms());
            let Some(fingerprint) = oldest.map(|suspect| suspect.fingerprint.clone()) else {
                return;
            };
            suspects.remove(&fingerprint);
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<RequestFingerprint, Suspect>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
