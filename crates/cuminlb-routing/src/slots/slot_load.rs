//! The load of a group, in slots.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// How many slots of a group are taken, as counted by its owner.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotLoad {
    /// The number of slots that are taken.
    pub taken: SlotCount,
    /// The number of slots that the group has currently.
    pub limit: SlotCount,
}
