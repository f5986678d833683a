//! The slots that the ledger knows of one holder.

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The slots of one holder.
#[derive(Clone, Debug)]
pub(super) struct HolderSlots {
    /// When the last message of the holder was received.
    pub(super) last_seen_at: Instant,
    /// The slots, each with the time at which it was granted or first reported.
    pub(super) slots: BTreeMap<SlotTicket, Instant>,
}

impl HolderSlots {
    /// Creates a holder without slots.
    pub(super) const fn new(last_seen_at: Instant) -> Self {
        Self {
            last_seen_at,
            slots: BTreeMap::new(),
        }
    }
}
