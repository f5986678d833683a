//! [`SlotRelease`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Gives a slot back to the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SlotRelease {
    /// The request that held the slot.
    pub request: RequestId,
    /// The group.
    pub group: GroupId,
}
