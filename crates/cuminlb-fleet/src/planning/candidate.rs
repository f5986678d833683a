//! The instances that the planner can choose from.

use cuminlb_types::prelude::*;

use super::PlannedMember;

/// One instance that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceId,
    /// The incarnation of the instance in its last report.
    pub incarnation: Incarnation,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The fabric domain of the instance.
    pub domain: FabricDomainId,
    /// The number of accelerators of the instance.
    pub accelerators: AcceleratorCount,
    /// Whether the instance is listed as live, responds, and may join a group.
    pub usable: bool,
    /// Whether the engine has already loaded weights of the model.
    pub holds_weights: bool,
}

impl Candidate {
    /// Returns the instance as a member of a group.
    pub fn to_member(&self) -> PlannedMember {
        PlannedMember {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
        }
    }
}
