//! Counts of the calls to peers, which the metrics of a node read.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of the calls that a node sends to its peers, shared by its links.
#[derive(Debug, Default)]
pub struct CallCounts {
    sent: AtomicU64,
    failed: AtomicU64,
}

impl CallCounts {
    /// Returns the number of calls, including those that failed.
    pub fn sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the number of calls without a response.
    pub fn failed(&self) -> u64 {
        self.failed.load(Ordering::Relaxed)
    }

    pub(crate) fn record_sent(&self) {
        self.sent.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn record_failed(&self) {
        self.failed.fetch_add(1, Ordering::Relaxed);
    }
}
