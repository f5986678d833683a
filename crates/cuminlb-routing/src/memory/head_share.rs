//! What one connection holds of a budget for heads.

use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::sync::Notify;

use super::head_budget::HeadBudget;
use super::heads_held::HeadsHeld;

/// How many times the length of a head is counted. A buffer doubles when it grows, so it may be twice as
/// large as its content.
const BUFFER_FACTOR: usize = 2;

/// What one connection holds of a [`HeadBudget`]. It is released when the share is dropped.
#[derive(Debug)]
pub struct HeadShare {
    budget: HeadBudget,
    id: u64,
    held_bytes: u64,
    /// Whether the budget may hold a waker of this connection, which waits until others release memory.
    is_waiting: bool,
    eviction: Arc<Notify>,
}

impl HeadShare {
    /// The length up to which a head takes nothing from the budget, so that ordinary requests are read while
    /// long heads have used it up. The number of connections bounds the sum of these heads.
    pub const FREE_LEN_BYTES: usize = 4 << 10;

    pub(super) fn new(budget: HeadBudget, id: u64) -> Self {
        Self {
            budget,
            id,
            held_bytes: 0,
            is_waiting: false,
            eviction: Arc::default(),
        }
    }

    /// Holds as much as an incomplete head of `len_bytes` needs, instead of what was held before. The
    /// task is woken when it may try again.
    ///
    /// # Errors
    ///
    /// Returns an error, and holds as much as before, if the budget has too little left and the incomplete
    /// heads of other connections that are at least as large hold too little, or if this connection was
    /// evicted.
    pub fn poll_resize(
        &mut self,
        cx: &Context<'_>,
        len_bytes: usize,
    ) -> Poll<Result<(), HeadsHeld>> {
        let needed_bytes = counted_bytes(len_bytes);
        if needed_bytes <= self.held_bytes {
            self.shrink(len_bytes);
            return Poll::Ready(Ok(()));
        }
        let mut pool = self.budget.pool();
        let grown = pool.poll_grow(cx, self.id, needed_bytes, &self.eviction);
        if let Poll::Ready(Ok(())) = grown {
            self.held_bytes = needed_bytes;
        }
        self.is_waiting = grown.is_pending();
        grown
    }

    /// Holds as much as a head of `len_bytes` needs, if that is less than before.
    pub fn shrink(&mut self, len_bytes: usize) {
        let needed_bytes = counted_bytes(len_bytes);
        if needed_bytes < self.held_bytes || self.is_waiting {
            self.held_bytes = self.held_bytes.min(needed_bytes);
            self.is_waiting = false;
            self.budget.pool().shrink(self.id, self.held_bytes);
        }
    }

    /// Records that the head is complete. What it holds stays held, and the connection isn't evicted
    /// while its request is in progress.
    pub fn complete(&mut self) {
        if self.held_bytes > 0 {
            self.budget.pool().complete(self.id);
        }
    }

    /// Returns whether the connection is to be closed, since others need what it holds.
    pub fn is_evicted(&self) -> bool {
        self.held_bytes > 0 && self.budget.pool().is_evicted(self.id)
    }

    /// Returns what is notified when the connection is evicted.
    pub fn eviction(&self) -> Arc<Notify> {
        Arc::clone(&self.eviction)
    }
}

impl Drop for HeadShare {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// Returns how much a head of a length counts.
fn counted_bytes(len_bytes: usize) -> u64 {
    if len_bytes <= HeadShare::FREE_LEN_BYTES {
        return 0;
    }
    u64::try_from(len_bytes.saturating_mul(BUFFER_FACTOR)).unwrap_or(u64::MAX)
}
