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
    /// What the node knows as the owner, where it is the owner.
    pub owned: Option<OwnedGroupStatus>,
}
