//! The state of a group as returned to operators.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::OwnedGroupStatus;

/// The state of one group as known to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupStatus {
    /// The id of the group.
    pub id: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// The availability zone.
    pub zone: ZoneId,
    /// The members, the leader first.
    pub members: Vec<InstanceId>,
    /// The members that the owner has reported missing.
    pub missing: Vec<InstanceId>,
    /// The node that owns the group, if known.
    #[serde(default)]
    pub owner: Option<NodeId>,
    /// The state that only the owner knows; in the status of a single node, set only if that node
    /// is the owner.
    pub owned: Option<OwnedGroupStatus>,
}

impl GroupStatus {
    /// Returns whether the owner reports that the group is serving.
    pub fn is_serving(&self) -> bool {
        self.owned.is_some_and(|owned| owned.serving)
    }
}
