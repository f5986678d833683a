//! Releases the slot of a request to an owner, whether or not the grant has arrived.

use std::sync::Arc;

use cuminlb_peer::ReleasedSlot;
use cuminlb_routing::{ReleaseReason, SlotId};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::node::Node;

/// One request for a slot; whatever the owner has granted for it is released when this is
/// dropped.
pub(super) struct SlotRequestGuard {
    node: Arc<Node>,
    owner: NodeId,
    ticket: SlotTicket,
    pub(super) group: GroupId,
    /// The latest time to send the caller's request, counted from before the slot is requested.
    pub(super) use_by: Instant,
    /// How the use of the slot ended.
    pub(super) end: ReleaseReason,
    is_granted: bool,
}

impl SlotRequestGuard {
    /// Registers a request for a slot, before it is sent, under a new ticket.
    pub(super) fn new(node: &Arc<Node>, owner: &NodeId, group: &GroupId) -> Self {
        Self {
            node: Arc::clone(node),
            owner: owner.clone(),
            ticket: node.slot_requests.start(group, owner),
            group: group.clone(),
            use_by: Instant::now() + node.slot_use_ms().duration(),
            end: ReleaseReason::Finished,
            is_granted: false,
        }
    }

    /// Records that the owner has granted the slot.
    pub(super) fn mark_granted(&mut self) {
        self.is_granted = true;
        self.node.slot_requests.hold(&self.group, self.ticket);
    }

    /// Returns the id of the slot.
    pub(super) fn id(&self) -> SlotId {
        SlotId {
            holder: self.node.slot_holder(),
            ticket: self.ticket,
        }
    }
}

impl Drop for SlotRequestGuard {
    fn drop(&mut self) {
        self.node.slot_requests.end(&self.group, self.ticket);
        if self.is_granted {
            self.node.loads.record_request_end(&self.group);
        }
        if self.owner == *self.node.id() {
            self.node.owned.release(&self.group, &self.id(), self.end);
            return;
        }
        let released = ReleasedSlot {
            group: self.group.clone(),
            ticket: self.ticket,
            end: self.end,
        };
        let _ = self.node.slot_releases.send((self.owner.clone(), released));
    }
}
