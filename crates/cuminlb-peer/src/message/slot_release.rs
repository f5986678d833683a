//! The release of slots.

use cuminlb_routing::{ReleaseReason, SlotHolder};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Releases slots at the owner of their groups.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRelease {
    /// The node that held the slots.
    pub holder: SlotHolder,
    /// The released slots.
    pub slots: Vec<ReleasedSlot>,
}

/// One released slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedSlot {
    /// The group.
    pub group: GroupId,
    /// The number of the request for the slot.
    pub ticket: SlotTicket,
    /// How the use of the slot ended.
    pub end: ReleaseReason,
}
