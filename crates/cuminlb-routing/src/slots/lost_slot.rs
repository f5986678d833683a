//! [`LostSlot`].

use tokio::time::Instant;

use super::SlotId;

/// A slot whose request may still run though nobody answers for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LostSlot {
    /// The slot; `None` where another owner granted it.
    pub(super) id: Option<SlotId>,
    /// When it was granted or first heard of; `None` where that was before this ledger.
    pub(super) granted_at: Option<Instant>,
    /// When the request has certainly ended.
    pub(super) ends_by: Instant,
}

impl LostSlot {
    /// Tells whether the engine may have begun the request only after `time`.
    pub(super) fn is_later_than(&self, time: Option<Instant>) -> bool {
        match (self.granted_at, time) {
            (Some(granted_at), Some(time)) => granted_at > time,
            (Some(_), None) => true,
            (None, _) => false,
        }
    }
}
