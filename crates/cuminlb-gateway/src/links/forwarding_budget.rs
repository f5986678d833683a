//! Limits what this node holds for the requests that it forwards.

use std::sync::Arc;

use cuminlb_types::prelude::*;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The fraction of the process memory that forwarded requests may hold.
const MEMORY_DIVISOR: u64 = 16;

/// What a forwarded request holds in addition to its body, for its buffers.
const REQUEST_KIB: u32 = 64;

/// Limits the memory that this node holds for the requests that it forwards.
///
/// This answers the load of other nodes that have lost their links all at once: a node that forwards
/// for them goes on serving its own callers.
#[derive(Debug)]
pub(crate) struct ForwardingBudget {
    free_kib: Arc<Semaphore>,
}

impl ForwardingBudget {
    /// Creates the budget of a process that has `memory_mb` of memory.
    pub(crate) fn new(memory_mb: u64) -> Self {
        let free_kib = (memory_mb / MEMORY_DIVISOR).max(1) * 1_024;
        let permits = usize::try_from(free_kib).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            free_kib: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Takes what a request with a body of `body` bytes holds until the permit is dropped; `None` if
    /// too little is left.
    pub(crate) fn acquire(&self, body: ByteCount) -> Option<OwnedSemaphorePermit> {
        let body_kib = u32::try_from(body.get().div_ceil(1_024)).ok()?;
        let needed_kib = body_kib.checked_add(REQUEST_KIB)?;
        Arc::clone(&self.free_kib)
            .try_acquire_many_owned(needed_kib)
            .ok()
    }
}
