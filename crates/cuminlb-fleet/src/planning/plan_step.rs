//! [`PlanStep`].

use cuminlb_types::prelude::*;

use super::PlannedMember;

/// One change of the groups of a service; each is one transaction.
///
/// A step on a group names the epoch that it was planned for, so that it has no effect on a
/// group that has changed since.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Form a new group of free instances.
    Form {
        /// The availability zone.
        zone: ZoneId,
        /// The fabric domain.
        domain: FabricDomainId,
        /// The members, the leader first.
        members: Vec<PlannedMember>,
    },
    /// Put spares in the places of missing members.
    Repair {
        /// The group.
        group: GroupId,
        /// The epoch at which the group is broken.
        epoch: Epoch,
        /// The members after the repair, the leader first.
        members: Vec<PlannedMember>,
    },
    /// Let the group take no new work, so that it can be dissolved.
    Drain {
        /// The group.
        group: GroupId,
        /// The epoch of the group.
        epoch: Epoch,
    },
    /// Free all members of a group that is broken or drained.
    Dissolve {
        /// The group.
        group: GroupId,
        /// The epoch of the group.
        epoch: Epoch,
    },
}
