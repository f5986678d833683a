//! [`AskedSlot`].

use std::sync::Arc;

use cuminlb_peer::ReleasedSlot;
use cuminlb_routing::{ReleaseReason, SlotId};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::node::Node;

/// One ask for a slot; whatever the owner granted for it is given back when this is dropped.
pub(super) struct AskedSlot {
    node: Arc<Node>,
    owner: NodeId,
    ticket: SlotTicket,
    pub(super) group: GroupId,
    /// When the request must be on its way; counted from before the ask is sent.
    pub(super) use_by: Instant,
    /// How the use of the slot ended.
    pub(super) end: ReleaseReason,
    held: bool,
}

impl AskedSlot {
    /// Numbers an ask that is about to be sent.
    pub(super) fn new(node: &Arc<Node>, owner: &NodeId, group: &GroupId) -> Self {
        Self {
            node: Arc::clone(node),
            owner: owner.clone(),
            ticket: node.slot_requests.start(group, owner),
            group: group.clone(),
            use_by: Instant::now() + node.slot_use_ms().duration(),
            end: ReleaseReason::Finished,
            held: false,
        }
    }

    /// Notes that the owner granted the slot.
    pub(super) fn hold(&mut self) {
        self.held = true;
        self.node.slot_requests.hold(&self.group, self.ticket);
    }

    /// Returns the name of the slot.
    pub(super) fn id(&self) -> SlotId {
        SlotId {
            holder: self.node.slot_holder(),
            ticket: self.ticket,
        }
    }
}

impl Drop for AskedSlot {
    fn drop(&mut self) {
        self.node.slot_requests.end(&self.group, self.ticket);
        if self.held {
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
