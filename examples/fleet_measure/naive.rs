//! A naive greedy planner, the baseline of the comparison.
//!
//! It processes groups in roster order. A broken group is repaired if its domain has enough free
//! instances and dissolved otherwise; groups in a zone that is out are drained or dissolved.
//! Missing groups are formed in the first domain, in id order, that has enough free instances.

use std::collections::{BTreeMap, HashSet};

use cuminlb_fleet::planning::{Candidate, PlanInput, PlanStep, PlannedMember};
use cuminlb_fleet::rows::{GroupRecord, GroupState};
use cuminlb_types::prelude::*;

type FreeInstances = BTreeMap<FabricDomainId, Vec<Candidate>>;

/// Returns the steps of one planning round.
pub(crate) fn plan(input: &PlanInput<'_>) -> Vec<PlanStep> {
    let mut free = free_instances(input);
    let mut steps = Vec::new();
    let mut kept = 0;
    for group in &input.roster.groups {
        let wanted = kept < input.service.replicas.get();
        match plan_group(input, group, wanted, &mut free) {
            None => kept += u32::from(group.state == GroupState::Intact && wanted),
            Some(step) => {
                kept += u32::from(matches!(step, PlanStep::Repair { .. }));
                steps.push(step);
            }
        }
    }
    let missing = input.service.replicas.get().saturating_sub(kept);
    steps.extend((0..missing).map_while(|_| form_group(input, &mut free)));
    steps
}

fn free_instances(input: &PlanInput<'_>) -> FreeInstances {
    let groups = input.roster.groups.iter();
    let assigned: HashSet<&InstanceId> = groups.flat_map(|group| &group.members).collect();
    let mut free = FreeInstances::new();
    let usable = input.candidates.iter().filter(|candidate| candidate.usable);
    for candidate in usable.filter(|candidate| !assigned.contains(&candidate.instance)) {
        let domain = candidate.domain.clone();
        free.entry(domain).or_default().push(candidate.clone());
    }
    free
}

fn plan_group(
    input: &PlanInput<'_>,
    group: &GroupRecord,
    wanted: bool,
    free: &mut FreeInstances,
) -> Option<PlanStep> {
    let (id, epoch) = (group.id.clone(), group.epoch);
    let missing = match &group.state {
        GroupState::Intact if wanted && input.fleet.zone_is_in(&group.zone) => return None,
        GroupState::Intact => return Some(PlanStep::Drain { group: id, epoch }),
        GroupState::Draining => return None,
        GroupState::Drained => return Some(PlanStep::Dissolve { group: id, epoch }),
        GroupState::Broken { missing } => missing,
    };
    let spares = free.entry(group.domain.clone()).or_default();
    if !wanted || spares.len() < missing.len() || !input.fleet.zone_is_in(&group.zone) {
        return Some(PlanStep::Dissolve { group: id, epoch });
    }
    let members = group.members.iter().map(|member| {
        let kept = PlannedMember {
            instance: member.clone(),
            incarnation: group.incarnations[member],
        };
        let spare = missing.contains(member).then(|| spares.pop()).flatten();
        spare.map_or(kept, |spare| spare.to_member())
    });
    Some(PlanStep::Repair {
        group: id,
        epoch,
        members: members.collect(),
    })
}

fn form_group(input: &PlanInput<'_>, free: &mut FreeInstances) -> Option<PlanStep> {
    let size = input.service.members_per_replica.get() as usize;
    let (domain, instances) = free.iter_mut().find(|(_, free)| free.len() >= size)?;
    let zone = instances.first()?.zone.clone();
    let members = instances
        .drain(..size)
        .map(|candidate| candidate.to_member());
    Some(PlanStep::Form {
        zone,
        domain: domain.clone(),
        members: members.collect(),
    })
}
