//! [`PlanStep`].

use cuminlb_types::prelude::*;

/// One change of the groups of a service; each is one transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Form a new group of free instances.
    Form {
        /// The availability zone.
        zone: ZoneId,
        /// The fabric domain.
        domain: FabricDomainId,
        /// The members, the leader first.
        members: Vec<InstanceId>,
    },
    /// Put spares in the places of missing members.
    Repair {
        /// The group.
        group: GroupId,
        /// The members after the repair, the leader first.
        members: Vec<InstanceId>,
    },
    /// Free all members of a group.
    Dissolve {
        /// The group.
        group: GroupId,
    },
}
