//! [`plan_groups`].

use std::collections::VecDeque;

use cuminlb_types::prelude::*;

use super::group_review::{GroupReview, dissolve};
use super::instance_pool::InstancePool;
use super::plan_input::PlanInput;
use super::{Candidate, PlanStep};
use crate::rows::GroupRecord;

/// Plans the steps from the present groups of a service to those that the fleet file asks for.
///
/// Groups end first, since that frees instances. A broken group is repaired from the spares of
/// its fabric domain; where these do not suffice, the group of the domain that misses the most
/// members is dissolved, and its survivors, which hold the weights already, repair the others.
/// Then new groups are formed. What brings a group back with the fewest loads from the weight
/// store comes first, and only as many groups load at once as the budget allows.
pub fn plan_groups(input: &PlanInput<'_>) -> Vec<PlanStep> {
    let review = GroupReview::of(input);
    let mut plan = Plan::new(input, &review);
    for broken in review.broken_by_domain(input) {
        plan.repair_domain(broken);
    }
    let wanted = input.replicas().saturating_sub(review.serving.len());
    plan.drop_surplus_repairs(wanted);
    while plan.gains.len() < wanted && plan.form_group() {}
    plan.into_steps()
}

/// A step that brings one group to serve.
#[derive(Debug)]
struct Gain {
    /// The members that have to load weights.
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
    endings: Vec<PlanStep>,
    gains: Vec<Gain>,
}

impl<'a> Plan<'a> {
    fn new(input: &'a PlanInput<'a>, review: &'a GroupReview<'a>) -> Self {
        Self {
            input,
            serving: &review.serving,
            pool: InstancePool::new(input),
            endings: review.endings.clone(),
            gains: Vec::new(),
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
        self.gains.push(Gain {
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
        self.endings.push(dissolve(group));
        self.pool.add_survivors(self.input, group);
    }

    /// Dissolves repairable groups beyond those that are wanted, the costliest first.
    fn drop_surplus_repairs(&mut self, wanted: usize) {
        self.gains.sort_by_key(|gain| gain.loads);
        let surplus = self.gains.split_off(wanted.min(self.gains.len()));
        for gain in surplus {
            if let PlanStep::Repair { group, epoch, .. } = gain.step {
                self.endings.push(PlanStep::Dissolve { group, epoch });
            }
        }
    }

    /// Forms one more group where that costs least; returns whether there was room.
    fn form_group(&mut self) -> bool {
        let size = self.input.size();
        let domains = self.pool.domains().filter(|(_, free)| free.len() >= size);
        let costs = domains.map(|(domain, free)| (domain, self.form_cost(domain, free)));
        let cheapest = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        let Some(domain) = cheapest.map(|(domain, _)| domain.clone()) else {
            return false;
        };
        let Some(chosen) = self.pool.take(&domain, size) else {
            return false;
        };
        let Some(zone) = chosen.first().map(|first| first.zone.clone()) else {
            return false;
        };
        let loads = chosen.iter().filter(|found| !found.holds_weights).count();
        self.gains.push(Gain {
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

    /// Weighs what forming a group in a fabric domain costs, in groups.
    ///
    /// Downtime: the share of the members that load weights, and a whole group where no spare
    /// remains for a repair. Stranded accelerators: a remainder of the domain that is too small
    /// for a group serves as spares once there is a group beside it, and nobody before.
    /// Changes of zones: the share of all groups that would leave with the zone.
    fn form_cost(&self, domain: &FabricDomainId, free: &[Candidate]) -> f64 {
        let weights = &self.input.fleet.weights;
        let size = self.input.size();
        let loads = free.iter().filter(|found| !found.holds_weights).count();
        let loads = loads.saturating_sub(free.len() - size);
        let unguarded = f64::from(u8::from(free.len() == size));
        let downtime = ratio(loads, size) + unguarded;
        let remainder = if self.has_group(domain) {
            0
        } else {
            free.len() % size
        };
        let stranded = -ratio(remainder, size);
        let zone = free.first().map(|found| &found.zone);
        let crowd = zone.map_or(0.0, |zone| {
            ratio(self.groups_in(zone), self.input.replicas())
        });
        weights.group_downtime.get() * downtime
            + weights.stranded_accelerators.get() * stranded
            + weights.zone_change.get() * crowd
    }

    fn has_group(&self, domain: &FabricDomainId) -> bool {
        self.serving.iter().any(|group| group.domain == *domain)
            || self.gains.iter().any(|gain| gain.domain == *domain)
    }

    fn groups_in(&self, zone: &ZoneId) -> usize {
        let serving = self.serving.iter().filter(|group| group.zone == *zone);
        let gained = self.gains.iter().filter(|gain| gain.zone == *zone);
        serving.count() + gained.count()
    }

    /// Orders the steps; groups beyond the load budget wait for a later plan.
    fn into_steps(mut self) -> Vec<PlanStep> {
        self.gains.sort_by_key(|gain| gain.loads);
        let mut budget = self.input.load_budget;
        let gains = self.gains.into_iter().filter(|gain| {
            if gain.loads == 0 {
                return true;
            }
            let within = budget > 0;
            budget = budget.saturating_sub(1);
            within
        });
        let steps = self.endings.into_iter().chain(gains.map(|gain| gain.step));
        steps.collect()
    }
}

fn ratio(part: usize, whole: usize) -> f64 {
    let number = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    number(part) / number(whole.max(1))
}
