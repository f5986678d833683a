//! A simulated request at the engine.

use cuminlb_routing::SlotId;

/// A request that was granted a slot, with the times at which it starts and ends at the engine.
#[derive(Clone, Debug)]
pub struct Request {
    pub slot: SlotId,
    pub node: usize,
    pub starts_at_ms: u64,
    pub ends_at_ms: u64,
    /// Whether its node still holds the slot.
    pub is_held: bool,
}
