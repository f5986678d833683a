//! The renewal of the slots that a node holds.

use cuminlb_routing::{HeldRange, SlotHolder};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Reports to the owner of groups which of their slots a node holds.
///
/// A renewal compensates for lost releases, and informs a new owner of the slots that its
/// predecessor granted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRenewal {
    /// The node that holds the slots.
    pub holder: SlotHolder,
    /// The slots by group.
    pub groups: Vec<RenewedGroup>,
}

/// The slots of one group that a node holds.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RenewedGroup {
    /// The group.
    pub group: GroupId,
    /// The held slots.
    pub range: HeldRange,
}
