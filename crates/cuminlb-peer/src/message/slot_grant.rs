//! The response of an owner to a request for a slot.

use std::net::SocketAddr;

use cuminlb_routing::{SlotDenial, SlotLoad};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The right to send one request to a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotGrant {
    /// The epoch at which the request is to be sent.
    pub epoch: Epoch,
    /// The address of the leader of the group.
    pub leader: SocketAddr,
    /// The load of the group, including this slot.
    pub load: SlotLoad,
}

/// The response to a [`SlotRequest`](super::SlotRequest).
pub type SlotResponse = Result<SlotGrant, SlotDenial>;
