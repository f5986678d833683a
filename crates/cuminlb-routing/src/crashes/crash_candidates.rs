//! What may have caused a crash of an instance.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::CrashCause;

/// The maximum number of candidates of one kind that are kept for a crash.
const MAX_CANDIDATES: usize = 256;

/// What an instance was running when it crashed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashCandidates {
    /// The causes in requests whose response had begun and had no content yet.
    pub begun: BTreeSet<CrashCause>,
    /// The causes in requests whose response had not begun.
    pub waiting: BTreeSet<CrashCause>,
}

impl CrashCandidates {
    /// Returns whether nothing may have caused the crash.
    pub fn is_empty(&self) -> bool {
        self.begun.is_empty() && self.waiting.is_empty()
    }

    /// Returns the causes that may have caused the crash. Requests that only waited are innocent if
    /// another one had begun.
    pub fn suspects(&self) -> &BTreeSet<CrashCause> {
        if self.begun.is_empty() {
            &self.waiting
        } else {
            &self.begun
        }
    }

    /// Returns the suspects that fulfill a condition, without the other candidates.
    pub(super) fn only_suspects(&self, condition: impl Fn(&CrashCause) -> bool) -> Self {
        let suspects = self.suspects().iter().filter(|cause| condition(cause));
        let suspects = suspects.cloned().collect();
        if self.begun.is_empty() {
            Self {
                waiting: suspects,
                ..Self::default()
            }
        } else {
            Self {
                begun: suspects,
                ..Self::default()
            }
        }
    }

    /// Adds the candidates of another node; returns whether any is new.
    pub fn merge(&mut self, other: &Self) -> bool {
        let has_begun = add_all(&mut self.begun, &other.begun);
        let has_waiting = add_all(&mut self.waiting, &other.waiting);
        has_begun || has_waiting
    }
}

fn add_all(known: &mut BTreeSet<CrashCause>, new: &BTreeSet<CrashCause>) -> bool {
    let before = known.len();
    for cause in new {
        if known.len() >= MAX_CANDIDATES {
            break;
        }
        known.insert(cause.clone());
    }
    known.len() > before
}
