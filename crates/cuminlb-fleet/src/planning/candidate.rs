//! [`Candidate`].

use cuminlb_types::prelude::*;

use super::PlannedMember;

/// One instance that a plan may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The instance.
    pub instance: InstanceId,
    /// The start of the instance's process, as its last report gave it.
    pub incarnation: Incarnation,
    /// The availability zone of the instance.
    pub zone: ZoneId,
    /// The fabric domain of the instance.
    pub domain: FabricDomainId,
    /// The accelerators of the instance.
    pub accelerators: AcceleratorCount,
    /// Whether the instance is live, answers, and may join a group.
    pub usable: bool,
    /// Whether the engine already holds weights of the model.
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
