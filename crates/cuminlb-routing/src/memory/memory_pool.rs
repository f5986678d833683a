//! An amount of memory that shares are taken from.

use std::sync::atomic::{AtomicU64, Ordering};

/// An amount of memory that shares are taken from.
#[derive(Debug)]
pub(super) struct MemoryPool {
    total_bytes: u64,
    used_bytes: AtomicU64,
}

impl MemoryPool {
    pub(super) const fn new(total_bytes: u64) -> Self {
        Self {
            total_bytes,
            used_bytes: AtomicU64::new(0),
        }
    }

    /// Takes `bytes`; returns `false` if fewer are left.
    pub(super) fn take(&self, bytes: u64) -> bool {
        let used = &self.used_bytes;
        let taken = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |used| {
            let used = used.checked_add(bytes)?;
            (used <= self.total_bytes).then_some(used)
        });
        taken.is_ok()
    }

    /// Gives back `bytes` that were taken.
    pub(super) fn give_back(&self, bytes: u64) {
        self.used_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }
}
