//! [`HeldSlot`].

use std::net::SocketAddr;

use cuminlb_peer::SlotGrant;
use cuminlb_routing::ReleaseReason;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::asked_slot::AskedSlot;

/// A slot that one request holds at a group; it is given back when this is dropped.
pub(super) struct HeldSlot {
    asked: AskedSlot,
    pub(super) epoch: Epoch,
    pub(super) leader: SocketAddr,
}

impl HeldSlot {
    /// Holds what was granted.
    pub(super) fn new(mut asked: AskedSlot, grant: &SlotGrant) -> Self {
        asked.hold();
        Self {
            asked,
            epoch: grant.epoch,
            leader: grant.leader,
        }
    }

    /// Returns the group.
    pub(super) const fn group(&self) -> &GroupId {
        &self.asked.group
    }

    /// Notes that the request is about to be sent, or returns `false` when it is too late for
    /// that: a new owner of the group may have stopped waiting for this request to show up.
    pub(super) fn start_use(&mut self) -> bool {
        let is_in_time = Instant::now() < self.asked.use_by;
        if is_in_time {
            self.asked.end = ReleaseReason::Abandoned;
        }
        is_in_time
    }

    /// Notes that the engine has given its whole answer or that the request never reached it.
    pub(super) const fn finish(&mut self) {
        self.asked.end = ReleaseReason::Finished;
    }
}
