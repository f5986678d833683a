//! [`Quarantine`].

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use super::{Crash, Suspect};

/// The number of suspects that a node keeps.
const MAX_SUSPECTS: usize = 1_024;

/// The number of suspects that one message to a peer carries.
const MAX_SHARED: usize = 64;

/// The suspects that a node knows, its own and those of its peers.
#[derive(Debug, Default)]
pub struct Quarantine {
    suspects: Mutex<HashMap<RequestFingerprint, Suspect>>,
}

impl Quarantine {
    /// Notes that a request ran at a group while it crashed.
    pub fn note_crash(&self, fingerprint: &RequestFingerprint, crash: Crash) {
        let mut suspect = Suspect::new(fingerprint.clone());
        suspect.add(crash);
        self.merge(&[suspect]);
    }

    /// Clears a request: it was answered, or an operator has released it.
    pub fn clear(&self, fingerprint: &RequestFingerprint, now_ms: UnixMillis) {
        if let Some(suspect) = self.lock().get_mut(fingerprint) {
            suspect.cleared_at_ms = suspect.cleared_at_ms.max(Some(now_ms));
        }
    }

    /// Tells whether a request has been at a crash that counts.
    pub fn is_suspect(&self, fingerprint: &RequestFingerprint, now_ms: UnixMillis) -> bool {
        let suspects = self.lock();
        suspects
            .get(fingerprint)
            .is_some_and(|suspect| suspect.is_suspect(now_ms))
    }

    /// Tells whether a request may not be sent.
    pub fn is_quarantined(&self, fingerprint: &RequestFingerprint, now_ms: UnixMillis) -> bool {
        let suspects = self.lock();
        suspects
            .get(fingerprint)
            .is_some_and(|suspect| suspect.is_quarantined(now_ms))
    }

    /// Returns the suspects that changed last, for peers and operators.
    pub fn newest(&self) -> Vec<Suspect> {
        let mut suspects: Vec<Suspect> = self.lock().values().cloned().collect();
        suspects.sort_by_key(|suspect| std::cmp::Reverse(suspect.changed_at_ms()));
        suspects.truncate(MAX_SHARED);
        suspects
    }

    /// Takes in what a peer knows.
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
