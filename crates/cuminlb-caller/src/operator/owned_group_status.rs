//! The state of a group that only its owner knows.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The state of a group that only its owner knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnedGroupStatus {
    /// Whether the group is serving: every member has a current proof that it is up.
    pub serving: bool,
    /// Whether the cold start of the group is over.
    pub warm: bool,
    /// The number of slots in use.
    pub taken: SlotCount,
    /// The total number of slots.
    pub limit: SlotCount,
}
