//! The section of a node's report on one group.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The state of a group, as known to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// Whether the group serves: there is fresh proof that every member is up.
    pub serving: bool,
    /// Whether the cold start of the group is over.
    pub warm: bool,
    /// The number of slots that are taken.
    pub taken: SlotCount,
    /// The total number of slots.
    pub limit: SlotCount,
}
