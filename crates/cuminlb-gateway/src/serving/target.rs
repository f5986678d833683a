//! The destination of one attempt.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;

/// The instance that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    /// The instance.
    pub(super) instance: InstanceId,
    /// The incarnation of its process.
    pub(super) incarnation: Incarnation,
    /// The address that it listens on.
    pub(super) address: SocketAddr,
    /// The group of which it is the head, and the epoch of the group.
    pub(super) group: Option<(GroupId, Epoch)>,
}

impl Target {
    /// Returns the epoch of its group; zero if it serves without a group.
    pub(super) fn epoch(&self) -> Epoch {
        let group = self.group.as_ref();
        group.map_or(Epoch(0), |(_, epoch)| *epoch)
    }
}
