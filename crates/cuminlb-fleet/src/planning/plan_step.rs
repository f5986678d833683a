//! The steps that a plan consists of.

use cuminlb_types::prelude::*;

use super::PlannedMember;

/// A change to the groups of a service; each step is one transaction.
///
/// A step on an existing group names the epoch that it was planned for, so that it has no effect
/// on a group that has changed since.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlanStep {
    /// Forms a new group of free instances.
    Form {
        /// The availability zone.
        zone: ZoneId,
        /// The fabric domain.
        domain: FabricDomainId,
        /// The members, the leader first.
        members: Vec<PlannedMember>,
    },
    /// Replaces missing members by spares.
    Repair {
        /// The group.
        group: GroupId,
        /// The epoch at which the group is broken.
        epoch: Epoch,
        /// The members after the repair, the leader first.
        members: Vec<PlannedMember>,
    },
    /// Stops new requests to the group, so that it can be dissolved later.
    Drain {
        /// The group.
        group: GroupId,
        /// The epoch of the group.
        epoch: Epoch,
    },
    /// Frees all members of a group that is broken or drained.
    Dissolve {
        /// The group.
        group: GroupId,
        /// The epoch of the group.
        epoch: Epoch,
    },
}
