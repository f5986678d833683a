//! [`OwnedGroupStatus`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What only the owner of a group knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OwnedGroupStatus {
    /// Whether the group serves: every member is freshly proved to be up.
    pub serving: bool,
    /// Whether the group has left its cold start behind.
    pub warm: bool,
    /// The slots that are taken.
    pub taken: SlotCount,
    /// The slots that there are.
    pub limit: SlotCount,
}
