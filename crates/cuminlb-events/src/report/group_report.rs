//! [`GroupReport`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What the owner of a group knows of it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupReport {
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: Epoch,
    /// Whether the group serves: every member is freshly proved to be up.
    pub serving: bool,
    /// Whether the group has left its cold start behind.
    pub warm: bool,
    /// The slots that are taken.
    pub taken: SlotCount,
    /// The slots that there are.
    pub limit: SlotCount,
}
