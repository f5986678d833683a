//! [`GroupStatus`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::OwnedGroupStatus;

/// One group as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupStatus {
    /// The group.
    pub id: GroupId,
    /// The epoch.
    pub epoch: Epoch,
    /// The availability zone.
    pub zone: ZoneId,
    /// The members, the leader first.
    pub members: Vec<InstanceId>,
    /// Members that the owner reported missing.
    pub missing: Vec<InstanceId>,
    /// The node that owns the group, where it is known.
    #[serde(default)]
    pub owner: Option<NodeId>,
    /// What the owner knows; of a single node, only where it is the owner.
    pub owned: Option<OwnedGroupStatus>,
}

impl GroupStatus {
    /// Tells whether the owner says that the group serves.
    pub fn is_serving(&self) -> bool {
        self.owned.is_some_and(|owned| owned.serving)
    }
}
