//! A slot that has lost its holder.

use tokio::time::Instant;

use super::SlotId;

/// A slot whose request may still run although no node accounts for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OrphanedSlot {
    /// The slot; `None` if its identity is unknown, for instance because another owner granted it.
    pub(super) id: Option<SlotId>,
    /// When the slot was granted or first reported; `None` if that was before this ledger.
    pub(super) granted_at: Option<Instant>,
    /// The time by which the request has certainly ended.
    pub(super) ends_by: Instant,
}

impl OrphanedSlot {
    /// Returns whether the slot was granted after `time`. A report in which only the slots granted
    /// up to `time` are certain to show may have missed its request.
    pub(super) fn is_newer_than(&self, time: Option<Instant>) -> bool {
        match (self.granted_at, time) {
            (Some(granted_at), Some(time)) => granted_at > time,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
