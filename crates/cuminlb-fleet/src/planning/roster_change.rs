//! The effect of a step on the roster and on the rows of instances.

use cuminlb_types::prelude::*;
use smol_str::format_smolstr;

use super::{PlanStep, PlannedMember};
use crate::rows::{GroupRecord, GroupState, Roster};

/// The changes that one step of a plan makes: the complete roster after the step, and the
/// instances that join or leave a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterChange {
    /// All groups after the step.
    pub roster: Roster,
    /// The group after the step, or before the step if that dissolves the group.
    pub group: GroupRecord,
    /// The instances that join the group.
    pub joined: Vec<InstanceId>,
    /// The instances that leave the group and are free again.
    pub freed: Vec<InstanceId>,
}

impl RosterChange {
    /// Computes the changes of a step; `None` if the group has changed since the step was planned.
    pub fn of(service: &ServiceId, roster: &Roster, step: &PlanStep) -> Option<Self> {
        let roster = roster.clone();
        match step {
            PlanStep::Form {
                zone,
                domain,
                members,
            } => Self::form(service, roster, zone, domain, members),
            PlanStep::Repair {
                group,
                epoch,
                members,
            } => Self::repair(roster, group, *epoch, members),
            PlanStep::Drain { group, epoch } => {
                Self::set_state(roster, group, *epoch, GroupState::Draining)
            }
            PlanStep::Dissolve { group, epoch } => Self::dissolve(roster, group, *epoch),
        }
    }

    /// Computes the change when the owner of a group has drained it or found members missing;
    /// `None` if the group's epoch has changed or its state does not allow the transition.
    pub fn change_state(
        roster: &Roster,
        group: &GroupId,
        epoch: Epoch,
        state: GroupState,
    ) -> Option<Self> {
        Self::set_state(roster.clone(), group, epoch, state)
    }

    fn form(
        service: &ServiceId,
        mut roster: Roster,
        zone: &ZoneId,
        domain: &FabricDomainId,
        members: &[PlannedMember],
    ) -> Option<Self> {
        let epoch = roster.next_epoch.next();
        roster.next_epoch = epoch;
        let joined = instances(members);
        let group = GroupRecord {
            id: format_smolstr!("{service}-{epoch}").parse().ok()?,
            epoch,
            zone: zone.clone(),
            domain: domain.clone(),
            members: joined.clone(),
            incarnations: incarnations(members),
            state: GroupState::Intact,
        };
        roster.groups.push(group.clone());
        Some(Self {
            roster,
            group,
            joined,
            freed: Vec::new(),
        })
    }

    fn repair(
        mut roster: Roster,
        id: &GroupId,
        epoch: Epoch,
        members: &[PlannedMember],
    ) -> Option<Self> {
        let next_epoch = roster.next_epoch.next();
        roster.next_epoch = next_epoch;
        let group = roster.group_mut(id, epoch)?;
        if !matches!(group.state, GroupState::Broken { .. }) {
            return None;
        }
        let previous = std::mem::replace(&mut group.members, instances(members));
        group.epoch = next_epoch;
        group.incarnations = incarnations(members);
        group.state = GroupState::Intact;
        let group = group.clone();
        let (joined, freed) = (
            difference(&group.members, &previous),
            difference(&previous, &group.members),
        );
        Some(Self {
            roster,
            group,
            joined,
            freed,
        })
    }

    fn dissolve(mut roster: Roster, id: &GroupId, epoch: Epoch) -> Option<Self> {
        let position = roster
            .groups
            .iter()
            .position(|group| group.id == *id && group.epoch == epoch)?;
        match roster.groups[position].state {
            GroupState::Intact | GroupState::Draining => return None,
            GroupState::Drained | GroupState::Broken { .. } => {}
        }
        let group = roster.groups.remove(position);
        let freed = group.members.clone();
        Some(Self {
            roster,
            group,
            joined: Vec::new(),
            freed,
        })
    }

    /// Changes the state of a group. A group leaves [`GroupState::Broken`] only by a repair or
    /// by being dissolved, and [`GroupState::Drained`] only by being dissolved.
    fn set_state(
        mut roster: Roster,
        id: &GroupId,
        epoch: Epoch,
        state: GroupState,
    ) -> Option<Self> {
        let group = roster.group_mut(id, epoch)?;
        match (&group.state, &state) {
            (GroupState::Intact, GroupState::Draining | GroupState::Broken { .. })
            | (GroupState::Draining, GroupState::Drained | GroupState::Broken { .. }) => {}
            _ => return None,
        }
        group.state = state;
        let group = group.clone();
        Some(Self {
            roster,
            group,
            joined: Vec::new(),
            freed: Vec::new(),
        })
    }
}

fn instances(members: &[PlannedMember]) -> Vec<InstanceId> {
    let ids = members.iter().map(|member| member.instance.clone());
    ids.collect()
}

fn incarnations(members: &[PlannedMember]) -> std::collections::BTreeMap<InstanceId, Incarnation> {
    let pairs = members
        .iter()
        .map(|member| (member.instance.clone(), member.incarnation));
    pairs.collect()
}

/// Returns the ids that are in `ids` and not in `excluded`.
fn difference(ids: &[InstanceId], excluded: &[InstanceId]) -> Vec<InstanceId> {
    let remaining = ids.iter().filter(|id| !excluded.contains(id));
    remaining.cloned().collect()
}
