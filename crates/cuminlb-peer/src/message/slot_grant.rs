//! [`SlotGrant`] and [`SlotAnswer`].

use std::net::SocketAddr;

use cuminlb_routing::{SlotDenial, SlotLoad};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The right to send one request to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotGrant {
    /// The epoch that the request is sent at.
    pub epoch: Epoch,
    /// Where the leader of the group listens.
    pub leader: SocketAddr,
    /// The load of the group with this slot.
    pub load: SlotLoad,
}

/// The answer to a [`SlotRequest`](super::SlotRequest).
pub type SlotAnswer = Result<SlotGrant, SlotDenial>;
