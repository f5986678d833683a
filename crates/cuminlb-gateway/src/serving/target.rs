//! [`Target`].

use std::net::SocketAddr;

use cuminlb_types::prelude::*;

/// The instance that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Target {
    /// The instance.
    pub(super) instance: InstanceId,
    /// Where it listens.
    pub(super) address: SocketAddr,
    /// The group that it is the head of, and its epoch.
    pub(super) group: Option<(GroupId, Epoch)>,
}

impl Target {
    /// Returns the epoch of its group; zero where it serves by itself.
    pub(super) fn epoch(&self) -> Epoch {
        let group = self.group.as_ref();
        group.map_or(Epoch(0), |(_, epoch)| *epoch)
    }
}
