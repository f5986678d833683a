//! [`SlotRenewal`].

use cuminlb_routing::{HeldRange, SlotHolder};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Tells the owner of groups which of their slots a node holds.
///
/// It makes up for lost releases and tells a new owner what the one before it granted.
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
    /// The slots.
    pub range: HeldRange,
}
