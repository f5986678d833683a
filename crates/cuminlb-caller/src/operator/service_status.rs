//! The state of a service as returned to operators.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupStatus;

/// The state of one service as known to a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The id of the service.
    pub id: ServiceId,
    /// The number of groups that the fleet file specifies.
    pub wanted: ReplicaCount,
    /// The existing groups.
    pub groups: Vec<GroupStatus>,
}
