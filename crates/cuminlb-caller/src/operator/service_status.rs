//! [`ServiceStatus`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupStatus;

/// One service as a node sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The service.
    pub id: ServiceId,
    /// The number of groups that the fleet file asks for.
    pub wanted: ReplicaCount,
    /// The groups there are.
    pub groups: Vec<GroupStatus>,
}
