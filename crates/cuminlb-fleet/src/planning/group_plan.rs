//! The planner of the groups of one service.

use std::collections::VecDeque;

use cuminlb_types::prelude::*;

use super::group_review::{GroupReview, dissolve};
use super::instance_pool::InstancePool;
use super::plan_input::PlanInput;
use super::{Candidate, PlanStep};
use crate::rows::GroupRecord;

/// Plans the steps from the current groups of a service to those that the fleet file specifies.
///
/// Groups are drained and dissolved first, since that frees instances. A broken group is repaired
/// from the spares of its fabric domain; if these do not suffice, the group of the domain with the
/// most missing members is dissolved, and its remaining members, which have already loaded the
/// weights, are used to repair the others. Then new groups are formed. The steps that need the
/// fewest loads from the weight store come first; once the load budget is used up, the remaining
/// steps that load weights wait for a later plan.
pub fn plan_groups(input: &PlanInput<'_>) -> Vec<PlanStep> {
    let review = GroupReview::of(input);
    let mut plan = Plan::new(input, &review);
    for broken in review.broken_by_domain(input) {
        plan.repair_domain(broken);
    }
    let wanted = input.replicas().saturating_sub(review.serving.len());
    plan.dissolve_surplus_repairs(wanted);
    while plan.serving_steps.len() < wanted && plan.form_group() {}
    plan.into_steps()
}

/// A step after which one more group serves.
#[derive(Debug)]
struct ServingStep {
    /// The number of members that have to load weights.
    loads: usize,
    zone: ZoneId,
    domain: FabricDomainId,
    step: PlanStep,
}

#[derive(Debug)]
struct Plan<'a> {
    input: &'a PlanInput<'a>,
    serving: &'a [&'a GroupRecord],
    pool: InstancePool,
    removals: Vec<PlanStep>,
    serving_steps: Vec<ServingStep>,
}

impl<'a> Plan<'a> {
    fn new(input: &'a PlanInput<'a>, review: &'a GroupReview<'a>) -> Self {
        Self {
            input,
            serving: &review.serving,
            pool: InstancePool::new(input),
            removals: review.removals.clone(),
            serving_steps: Vec::new(),
        }
    }

    /// Repairs as many broken groups of one fabric domain as possible.
    fn repair_domain(&mut self, broken: Vec<&GroupRecord>) {
        let mut queue = VecDeque::from(broken);
        while let Some(group) = queue.pop_front() {
            if self.repair_group(group) {
                continue;
            }
            if let Some(donor) = queue.pop_back() {
                self.dissolve_group(donor);
                queue.push_front(group);
            } else {
                self.dissolve_group(group);
            }
        }
    }

    fn repair_group(&mut self, group: &GroupRecord) -> bool {
        let Some((members, loads)) = self.pool.repair(self.input, group) else {
            return false;
        };
        self.serving_steps.push(ServingStep {
            loads,
            zone: group.zone.clone(),
            domain: group.domain.clone(),
            step: PlanStep::Repair {
                group: group.id.clone(),
                epoch: group.epoch,
                members,
            },
        });
        true
    }

    fn dissolve_group(&mut self, group: &GroupRecord) {
        self.removals.push(dissolve(group));
        self.pool.add_survivors(self.input, group);
    }

    /// Dissolves repairable groups in excess of the wanted number, those with the most loads
    /// first.
    fn dissolve_surplus_repairs(&mut self, wanted: usize) {
        self.serving_steps.sort_by_key(|planned| planned.loads);
        let surplus = self
            .serving_steps
            .split_off(wanted.min(self.serving_steps.len()));
        for planned in surplus {
            if let PlanStep::Repair { group, epoch, .. } = planned.step {
                self.removals.push(PlanStep::Dissolve { group, epoch });
            }
        }
    }

    /// Forms one more group in the fabric domain with the lowest cost; returns whether any domain
    /// had enough free instances.
    fn form_group(&mut self) -> bool {
        let size = self.input.group_size();
        let domains = self.pool.domains().filter(|(_, free)| free.len() >= size);
        let domain_costs = domains.map(|(domain, free)| (domain, self.form_cost(domain, free)));
        let cheapest = domain_costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some(domain) = cheapest.map(|(domain, _)| domain.clone()) else {
            return false;
        };
        let Some(chosen) = self.pool.take(&domain, size) else {
            return false;
        };
        let Some(zone) = chosen.first().map(|first| first.zone.clone()) else {
            return false;
        };
        let loads = chosen
            .iter()
            .filter(|candidate| !candidate.holds_weights)
            .count();
        self.serving_steps.push(ServingStep {
            loads,
            zone: zone.clone(),
            domain: domain.clone(),
            step: PlanStep::Form {
                zone,
                domain,
                members: chosen.iter().map(Candidate::to_member).collect(),
            },
        });
        true
    }

    /// Returns the weighted cost of forming a group in a fabric domain, in units of groups.
    ///
    /// - Downtime: the fraction of the members that have to load weights, plus one group if no
    ///   spare remains for a repair.
    /// - Stranded accelerators: a remainder of the domain that is too small for a group is
    ///   stranded until the domain has a group, to which it then serves as spares. This lowers
    ///   the cost.
    /// - Zone changes: the fraction of all groups that would be lost with the availability zone.
    fn form_cost(&self, domain: &FabricDomainId, free: &[Candidate]) -> f64 {
        let weights = &self.input.fleet.weights;
        let size = self.input.group_size();
        let loads = free
            .iter()
            .filter(|candidate| !candidate.holds_weights)
            .count();
        let loads = loads.saturating_sub(free.len() - size);
        let without_spare = f64::from(u8::from(free.len() == size));
        let downtime = ratio(loads, size) + without_spare;
        let remainder = if self.has_group(domain) {
            0
        } else {
            free.len() % size
        };
        let stranded = -ratio(remainder, size);
        let zone = free.first().map(|candidate| &candidate.zone);
        let zone_fraction = zone.map_or(0.0, |zone| {
            ratio(self.groups_in(zone), self.input.replicas())
        });
        weights.group_downtime.get() * downtime
            + weights.stranded_accelerators.get() * stranded
            + weights.zone_change.get() * zone_fraction
    }

    fn has_group(&self, domain: &FabricDomainId) -> bool {
        self.serving.iter().any(|group| group.domain == *domain)
            || self
                .serving_steps
                .iter()
                .any(|planned| planned.domain == *domain)
    }

    fn groups_in(&self, zone: &ZoneId) -> usize {
        let serving = self.serving.iter().filter(|group| group.zone == *zone);
        let added = self
            .serving_steps
            .iter()
            .filter(|planned| planned.zone == *zone);
        serving.count() + added.count()
    }

    /// Orders the steps and drops those beyond the load budget; a later plan includes them.
    fn into_steps(mut self) -> Vec<PlanStep> {
        self.serving_steps.sort_by_key(|planned| planned.loads);
        let mut budget = self.input.load_budget;
        let serving_steps = self.serving_steps.into_iter().filter(|planned| {
            if planned.loads == 0 {
                return true;
            }
            let is_within_budget = budget > 0;
            budget = budget.saturating_sub(planned.loads);
            is_within_budget
        });
        let steps = self
            .removals
            .into_iter()
            .chain(serving_steps.map(|planned| planned.step));
        steps.collect()
    }
}

fn ratio(numerator: usize, denominator: usize) -> f64 {
    let to_f64 = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    to_f64(numerator) / to_f64(denominator.max(1))
}
