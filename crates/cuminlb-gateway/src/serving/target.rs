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
