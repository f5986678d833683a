//! The plan of a leader: what to do about groups now.
//!
//! [`plan_assembly`] goes through the groups that stand (`review`), forms those that lack
//! (`formation`) and prepares unused instances (`spares`).

mod formation;
mod review;
mod spares;

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::{AssemblyStep, GroupView, Situation};

/// Returns what to do now.
pub fn plan_assembly<'a>(situation: &Situation<'a>, now: Instant) -> Vec<AssemblyStep> {
    let mut plan = Plan {
        situation,
        now,
        steps: Vec::new(),
        bound: BTreeSet::new(),
        standing: BTreeMap::new(),
        loads_running: situation.loads_running,
        waits_for_loads: false,
        orphans: Vec::new(),
        giving_up: BTreeSet::new(),
        formed: BTreeMap::new(),
        promised: BTreeMap::new(),
    };
    for forming in situation.forming {
        *plan.standing.entry(forming.model.clone()).or_default() += 1;
        plan.bound.extend(forming.members.iter().cloned());
    }
    for group in situation.groups {
        plan.review(group);
    }
    let mut free = plan.free_instances(now);
    plan.reform_orphans(&mut free);
    plan.form_groups(&mut free, now);
    if !plan.waits_for_loads {
        plan.stage_weights(&free);
    }
    plan.warm_spares(&free);
    plan.steps
}

/// Unused instances by the part of the fabric that they are in.
type FreeInstances<'a> = BTreeMap<Option<FabricDomainId>, Vec<&'a InstanceEntry>>;

/// How good a part of the fabric is for a new group; the least is the best.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DomainRank {
    /// The time until the group serves.
    join_ms: Millis,
    /// The groups of the same model there, which one fault of that part would take away together.
    same_model: usize,
    /// The unused instances there.
    unused: std::cmp::Reverse<usize>,
}

/// A plan in the making.
struct Plan<'s, 'a> {
    situation: &'s Situation<'a>,
    now: Instant,
    steps: Vec<AssemblyStep>,
    /// Instances that a group needs, or that may not leave theirs yet.
    bound: BTreeSet<InstanceId>,
    /// The groups of each model that serve or will.
    standing: BTreeMap<ModelId, usize>,
    loads_running: usize,
    /// Whether a group could be formed if fewer loads were under way.
    waits_for_loads: bool,
    /// Groups whose heads answer nothing.
    orphans: Vec<&'a GroupView>,
    /// Models of which a group is being given up, whose members are soon free.
    giving_up: BTreeSet<ModelId>,
    /// The spares that take the places of stragglers, by part of the fabric.
    promised: BTreeMap<Option<FabricDomainId>, usize>,
    /// The groups that this plan forms, by part of the fabric and model.
    formed: BTreeMap<(Option<FabricDomainId>, ModelId), usize>,
}
