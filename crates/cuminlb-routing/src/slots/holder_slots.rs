//! [`HolderSlots`].

use std::collections::BTreeMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The slots of one holder.
#[derive(Clone, Debug)]
pub(super) struct HolderSlots {
    /// When the holder was last heard.
    pub(super) heard_at: Instant,
    /// The slots, each with the time at which it was granted or first heard of.
    pub(super) slots: BTreeMap<SlotTicket, Instant>,
}

impl HolderSlots {
    /// Starts without slots.
    pub(super) const fn new(heard_at: Instant) -> Self {
        Self {
            heard_at,
            slots: BTreeMap::new(),
        }
    }
}
