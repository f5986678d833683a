//! [`SlotRequest`].

use cuminlb_routing::SlotId;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks the owner of a group for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRequest {
    /// The slot, named by the node that will send the request and the number of its ask.
    pub slot: SlotId,
    /// The service of the group.
    pub service: ServiceId,
    /// The group.
    pub group: GroupId,
    /// The epoch that the asker knows.
    pub epoch: Epoch,
    /// How long the asker waits for a slot to come free.
    pub wait_ms: Millis,
}
