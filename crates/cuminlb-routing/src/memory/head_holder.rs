//! What one connection holds of the budget for heads.

use std::sync::Arc;

use tokio::sync::Notify;

/// What one connection holds of the budget for heads.
#[derive(Debug)]
pub(super) struct HeadHolder {
    pub(super) held_bytes: u64,
    /// Whether the head is complete, so that its request is in progress.
    pub(super) is_complete: bool,
    /// Whether the connection was asked to close.
    pub(super) is_evicted: bool,
    /// Wakes the connection when it is to be closed.
    pub(super) eviction: Arc<Notify>,
}
