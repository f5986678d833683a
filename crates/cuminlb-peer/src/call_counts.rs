//! [`CallCounts`].

use std::sync::atomic::{AtomicU64, Ordering};

/// Counts the calls that a node sends to its peers.
#[derive(Debug, Default)]
pub struct CallCounts {
    sent: AtomicU64,
    failed: AtomicU64,
}

impl CallCounts {
    /// Returns the number of calls.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of calls without an answer.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    pub(crate) fn note_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn note_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }
}
