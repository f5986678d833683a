//! [`plan_groups`].

use std::collections::{BTreeMap, HashSet};

use cuminlb_config::ServiceSpec;
use cuminlb_types::prelude::*;

use super::{Candidate, PlanStep};
use crate::rows::{GroupRecord, GroupState, Roster};

/// Plans the steps from the present groups of a service to those that the fleet file asks for.
///
/// Broken groups come first: a spare of the same fabric domain repairs a group, and a group
/// without spares is dissolved so that its members can serve elsewhere. New groups are formed in
/// the fabric domains with the fewest free instances that suffice, which leaves the large
/// remainders together.
pub fn plan_groups(spec: &ServiceSpec, roster: &Roster, candidates: &[Candidate]) -> Vec<PlanStep> {
    let mut free = free_by_domain(roster, candidates);
    let mut steps = Vec::new();
    let mut kept = 0;
    for group in &roster.groups {
        let excess = kept >= spec.replicas.get();
        match plan_group(spec, group, excess, &mut free) {
            None => kept += 1,
            Some(step) => {
                kept += u32::from(matches!(step, PlanStep::Repair { .. }));
                steps.push(step);
            }
        }
    }
    let wanted = spec.replicas.get().saturating_sub(kept);
    steps.extend((0..wanted).map_while(|_| form_group(spec, &mut free)));
    steps
}

type FreeInstances = BTreeMap<FabricDomainId, Vec<Candidate>>;

fn free_by_domain(roster: &Roster, candidates: &[Candidate]) -> FreeInstances {
    let taken: HashSet<&InstanceId> = roster
        .groups
        .iter()
        .flat_map(|group| &group.members)
        .collect();
    let mut free = FreeInstances::new();
    for candidate in candidates {
        if candidate.usable && !taken.contains(&candidate.instance) {
            free.entry(candidate.domain.clone())
                .or_default()
                .push(candidate.clone());
        }
    }
    free
}

fn plan_group(
    spec: &ServiceSpec,
    group: &GroupRecord,
    excess: bool,
    free: &mut FreeInstances,
) -> Option<PlanStep> {
    let dissolve = PlanStep::Dissolve {
        group: group.id.clone(),
    };
    let size = usize::try_from(spec.members_per_replica.get()).unwrap_or(usize::MAX);
    if excess || group.members.len() != size {
        return Some(dissolve);
    }
    let GroupState::Broken { missing } = &group.state else {
        return None;
    };
    let spares = free.entry(group.domain.clone()).or_default();
    if spares.len() < missing.len() {
        return Some(dissolve);
    }
    let mut members = group.members.clone();
    for member in members.iter_mut().filter(|member| missing.contains(member)) {
        if let Some(spare) = spares.pop() {
            *member = spare.instance;
        }
    }
    Some(PlanStep::Repair {
        group: group.id.clone(),
        members,
    })
}

fn form_group(spec: &ServiceSpec, free: &mut FreeInstances) -> Option<PlanStep> {
    let size = usize::try_from(spec.members_per_replica.get()).unwrap_or(usize::MAX);
    let (domain, instances) = free
        .iter_mut()
        .filter(|(_, instances)| instances.len() >= size)
        .min_by_key(|(_, instances)| instances.len())?;
    let chosen: Vec<Candidate> = instances.drain(..size).collect();
    let zone = chosen.first()?.zone.clone();
    let members = chosen
        .into_iter()
        .map(|candidate| candidate.instance)
        .collect();
    Some(PlanStep::Form {
        zone,
        domain: domain.clone(),
        members,
    })
}
