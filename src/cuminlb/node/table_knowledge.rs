//! [`TableKnowledge`].

use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// When this node last heard the table.
#[derive(Debug, Default)]
pub struct TableKnowledge {
    heard_at: Mutex<Option<Instant>>,
}

impl TableKnowledge {
    /// Notes an answer to a read that was sent at `sent_at`.
    pub fn note(&self, sent_at: Instant) {
        let mut heard_at = self.heard_at.lock().unwrap_or_else(PoisonError::into_inner);
        *heard_at = (*heard_at).max(Some(sent_at));
    }

    /// Returns the age of the knowledge, or `None` before the first answer.
    pub fn age_ms(&self) -> Option<Millis> {
        let heard_at = self.heard_at.lock().unwrap_or_else(PoisonError::into_inner);
        heard_at.map(|heard_at| heard_at.elapsed().into())
    }

    /// Tells whether the knowledge is at most `max_age_ms` old.
    pub fn is_fresh(&self, max_age_ms: Millis) -> bool {
        self.age_ms().is_some_and(|age_ms| age_ms <= max_age_ms)
    }
}
