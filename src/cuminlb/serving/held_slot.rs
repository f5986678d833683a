//! [`HeldSlot`].

use std::net::SocketAddr;
use std::sync::Arc;

use cuminlb_peer::SlotRelease;
use cuminlb_types::prelude::*;

use crate::node::Node;

/// A slot that one request holds at a group; it is given back when this is dropped.
pub(super) struct HeldSlot {
    pub(super) node: Arc<Node>,
    pub(super) owner: NodeId,
    pub(super) request: RequestId,
    pub(super) group: GroupId,
    pub(super) epoch: Epoch,
    pub(super) leader: SocketAddr,
}

impl Drop for HeldSlot {
    fn drop(&mut self) {
        if self.owner == *self.node.id() {
            if let Some(owned) = self.node.owned.get(&self.group) {
                owned.release(&self.request);
            }
            return;
        }
        let release = SlotRelease {
            request: self.request.clone(),
            group: self.group.clone(),
        };
        let _ = self.node.releases.send((self.owner.clone(), release));
    }
}
