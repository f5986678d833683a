//! [`Request`].

use cuminlb_routing::SlotId;

/// A request that was granted: it starts at the engine, and ends there.
#[derive(Clone, Debug)]
pub struct Request {
    pub slot: SlotId,
    pub node: usize,
    pub starts_at_ms: u64,
    pub ends_at_ms: u64,
    /// Whether its node still answers for it.
    pub held: bool,
}
