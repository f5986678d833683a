//! Computes the plan of a leader: the steps to apply to groups now.
//!
//! [`plan_assembly`] evaluates the existing groups (`evaluation`), forms missing ones (`formation`)
//! and prepares unused instances (`spares`).

mod evaluation;
mod formation;
mod spares;

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::{GroupView, PlanInput, PlanStep};

/// Returns the steps to apply now.
pub fn plan_assembly<'a>(input: &PlanInput<'a>, now: Instant) -> Vec<PlanStep> {
    let mut plan = PlanBuilder {
        input,
        now,
        steps: Vec::new(),
        reserved: BTreeSet::new(),
        active_groups: BTreeMap::new(),
        loads_in_flight: input.loads_in_flight,
        waits_for_loads: false,
        orphans: Vec::new(),
        dissolving: BTreeSet::new(),
        planned_groups: BTreeMap::new(),
        present_members: count_members(input),
        reserved_spares: BTreeMap::new(),
    };
    for forming in input.forming {
        *plan.active_groups.entry(forming.model.clone()).or_default() += 1;
        plan.reserved.extend(forming.members.iter().cloned());
    }
    for group in input.groups {
        plan.evaluate_group(group);
    }
    let mut free = plan.free_instances(now);
    plan.rebuild_orphaned_groups(&mut free);
    plan.form_groups(&mut free, now);
    if !plan.waits_for_loads {
        plan.stage_weights(&free);
    }
    plan.warm_spares(&free);
    plan.steps
}

/// Unused instances by fabric domain.
type FreeInstances<'a> = BTreeMap<Option<FabricDomainId>, Vec<&'a InstanceEntry>>;

/// The rank of a fabric domain as the location of a new group; the lowest rank is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DomainRank {
    /// The time until the group serves.
    join_ms: Millis,
    /// The number of groups of the same model in the domain, which one fault of the domain would
    /// stop together.
    same_model: usize,
    /// The number of unused instances in the domain; more is better.
    unused: std::cmp::Reverse<usize>,
}

/// A plan under construction.
struct PlanBuilder<'s, 'a> {
    input: &'s PlanInput<'a>,
    now: Instant,
    steps: Vec<PlanStep>,
    /// Instances that a group needs, or that must not leave their group yet.
    reserved: BTreeSet<InstanceId>,
    /// The number of groups of each model that serve or are being formed.
    active_groups: BTreeMap<ModelId, usize>,
    loads_in_flight: usize,
    /// Whether a group must wait before it may load weights: for a dissolving group's members, for
    /// instances that are still registering, or for the limit on loads.
    waits_for_loads: bool,
    /// Groups whose heads do not respond.
    orphans: Vec<&'a GroupView>,
    /// Models with a group that is being dissolved, whose members will soon be free.
    dissolving: BTreeSet<ModelId>,
    /// The number of spares that will replace stragglers, by fabric domain.
    reserved_spares: BTreeMap<Option<FabricDomainId>, usize>,
    /// The number of groups that this plan forms, by fabric domain and model.
    planned_groups: BTreeMap<(Option<FabricDomainId>, ModelId), usize>,
    /// The number of present members of groups, by fabric domain and model.
    present_members: BTreeMap<(Option<FabricDomainId>, ModelId), usize>,
}

/// Counts the present members of groups by fabric domain and model.
fn count_members(input: &PlanInput<'_>) -> BTreeMap<(Option<FabricDomainId>, ModelId), usize> {
    let mut counts: BTreeMap<(Option<FabricDomainId>, ModelId), usize> = BTreeMap::new();
    for group in input.groups {
        for id in group.present() {
            if let Some(entry) = input.instances.get(id) {
                let key = (entry.domain.clone(), group.shape.id.clone());
                *counts.entry(key).or_default() += 1;
            }
        }
    }
    counts
}
