//! The state of one simulated node.

use cuminlb_routing::SlotId;
use cuminlb_types::prelude::*;

/// A simulated node that requests slots.
#[derive(Clone, Debug)]
pub struct NodeState {
    pub incarnation: u64,
    pub last_ticket: SlotTicket,
    pub releases_dropped: bool,
    pub latest_slot: Option<SlotId>,
    /// The denied slot requests that are retried: the ticket, and the `send_ms` and `run_ms` of the
    /// request.
    pub waiting: Vec<(SlotTicket, u64, u64)>,
}
