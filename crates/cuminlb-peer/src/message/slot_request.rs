//! The request for a slot.

use cuminlb_routing::SlotId;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Requests a slot from the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRequest {
    /// The id of the slot: the node that will send the request, and the number of its slot request.
    pub slot: SlotId,
    /// The service of the group.
    pub service: ServiceId,
    /// The group.
    pub group: GroupId,
    /// The epoch that the requesting node knows.
    pub epoch: Epoch,
    /// How long the owner may wait for a slot to become free.
    pub wait_ms: Millis,
}
