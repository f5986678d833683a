//! [`GroupRecord`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupState;

/// One group of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GroupRecord {
    /// The group.
    pub id: GroupId,
    /// The epoch; every change of the members raises it.
    pub epoch: Epoch,
    /// The availability zone of all members.
    pub zone: ZoneId,
    /// The fabric domain of all members.
    pub domain: FabricDomainId,
    /// The members, the leader first.
    pub members: Vec<InstanceId>,
    /// Whether the group may serve.
    pub state: GroupState,
}
