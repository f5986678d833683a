//! A slot that an owner has granted to a request of this node.

use std::net::SocketAddr;

use cuminlb_peer::SlotGrant;
use cuminlb_routing::ReleaseReason;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::slot_request_guard::SlotRequestGuard;

/// A slot that one request holds at a group; it is released when this is dropped.
pub(super) struct HeldSlot {
    guard: SlotRequestGuard,
    pub(super) epoch: Epoch,
    pub(super) leader: SocketAddr,
}

impl HeldSlot {
    /// Creates the slot from what the owner granted.
    pub(super) fn new(mut guard: SlotRequestGuard, grant: &SlotGrant) -> Self {
        guard.mark_granted();
        Self {
            guard,
            epoch: grant.epoch,
            leader: grant.leader,
        }
    }

    /// Returns the group of the slot.
    pub(super) const fn group(&self) -> &GroupId {
        &self.guard.group
    }

    /// Marks the request as sent, just before that, or returns `false` if it must not be sent any
    /// more: a new owner of the group may have stopped waiting for the request to arrive.
    pub(super) fn try_mark_sent(&mut self) -> bool {
        let is_in_time = Instant::now() < self.guard.use_by;
        if is_in_time {
            self.guard.end = ReleaseReason::Abandoned;
        }
        is_in_time
    }

    /// Marks the use as finished: the engine has sent its complete response, or the request never
    /// reached it.
    pub(super) const fn finish(&mut self) {
        self.guard.end = ReleaseReason::Finished;
    }
}
