//! The destination of one attempt.

use std::net::SocketAddr;

use cuminlb_peer::{InstanceCheck, InstanceQuery};
use cuminlb_routing::RequestClass;
use cuminlb_types::prelude::*;

/// The instance that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    /// The instance.
    pub(crate) instance: InstanceId,
    /// The incarnation of its process.
    pub(crate) incarnation: Incarnation,
    /// The address that it listens on.
    pub(crate) address: SocketAddr,
    /// The group of which it is the head, and the epoch of the group.
    pub(crate) group: Option<(GroupId, Epoch)>,
    /// How the request competes for its slots.
    pub(crate) class: RequestClass,
}

impl Target {
    /// Returns the question whether another node reaches the instance.
    pub(crate) fn query(&self) -> InstanceQuery {
        InstanceQuery {
            instance: self.instance.clone(),
            check: self
                .group
                .clone()
                .map_or(InstanceCheck::Accepts, |(group, epoch)| {
                    InstanceCheck::HoldsSeat { group, epoch }
                }),
        }
    }

    /// Returns the epoch of its group; zero if it serves without a group.
    pub(super) fn epoch(&self) -> Epoch {
        let group = self.group.as_ref();
        group.map_or(Epoch(0), |(_, epoch)| *epoch)
    }
}
