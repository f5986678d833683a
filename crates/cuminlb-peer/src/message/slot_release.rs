//! [`SlotRelease`].

use cuminlb_routing::{ReleaseReason, SlotHolder};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Gives slots back to the owner of their groups.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRelease {
    /// The node that held the slots.
    pub holder: SlotHolder,
    /// The slots.
    pub slots: Vec<ReleasedSlot>,
}

/// One slot that is given back.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReleasedSlot {
    /// The group.
    pub group: GroupId,
    /// The number of the ask.
    pub ticket: SlotTicket,
    /// How its use ended.
    pub end: ReleaseReason,
}
