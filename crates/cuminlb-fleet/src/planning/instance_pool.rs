//! The free instances that a plan can assign to groups.

use std::collections::{BTreeMap, HashSet};

use cuminlb_types::prelude::*;

use super::plan_input::PlanInput;
use super::{Candidate, PlannedMember};
use crate::rows::GroupRecord;

/// The usable instances that are in no group, by fabric domain.
#[derive(Debug)]
pub(super) struct InstancePool {
    free: BTreeMap<FabricDomainId, Vec<Candidate>>,
    weights: CandidateWeights,
}

/// The weights by which free instances are compared, from the fleet file's measures.
#[derive(Clone, Copy, Debug)]
struct CandidateWeights {
    group_downtime: f64,
    stranded_accelerators: f64,
    max_accelerators: f64,
}

impl CandidateWeights {
    /// Returns the score of an instance; the highest is chosen first. An instance that has loaded
    /// the weights serves sooner, and one with many accelerators leaves fewer stranded.
    fn score(&self, candidate: &Candidate) -> f64 {
        let downtime = self.group_downtime * f64::from(u8::from(candidate.holds_weights));
        let accelerator_fraction = f64::from(candidate.accelerators.get()) / self.max_accelerators;
        downtime + self.stranded_accelerators * accelerator_fraction
    }
}

impl InstancePool {
    /// Collects the instances that are usable and in no group.
    pub(super) fn new(input: &PlanInput<'_>) -> Self {
        let groups = input.roster.groups.iter();
        let assigned: HashSet<&InstanceId> = groups.flat_map(|group| &group.members).collect();
        let most = input
            .candidates
            .iter()
            .map(|candidate| candidate.accelerators);
        let most = most.max().unwrap_or_default().get().max(1);
        let weights = CandidateWeights {
            group_downtime: input.fleet.weights.group_downtime.get(),
            stranded_accelerators: input.fleet.weights.stranded_accelerators.get(),
            max_accelerators: f64::from(most),
        };
        let mut pool = Self {
            free: BTreeMap::new(),
            weights,
        };
        for candidate in input.candidates {
            if candidate.usable && !assigned.contains(&candidate.instance) {
                pool.add(candidate.clone());
            }
        }
        pool
    }

    /// Returns the free instances of each fabric domain.
    pub(super) fn domains(&self) -> impl Iterator<Item = (&FabricDomainId, &[Candidate])> {
        self.free
            .iter()
            .map(|(domain, free)| (domain, free.as_slice()))
    }

    /// Removes and returns the `count` best instances of a fabric domain, or returns `None` if it
    /// has too few.
    pub(super) fn take(&mut self, domain: &FabricDomainId, count: usize) -> Option<Vec<Candidate>> {
        let weights = self.weights;
        let free = self.free.get_mut(domain)?;
        if free.len() < count {
            return None;
        }
        free.sort_by(|a, b| weights.score(b).total_cmp(&weights.score(a)));
        Some(free.drain(..count).collect())
    }

    /// Adds the usable members of a dissolved group; those that were not missing have loaded the
    /// weights.
    pub(super) fn add_survivors(&mut self, input: &PlanInput<'_>, group: &GroupRecord) {
        for member in &group.members {
            let Some(candidate) = input.candidate(member).filter(|candidate| candidate.usable)
            else {
                continue;
            };
            let mut survivor = candidate.clone();
            if !group.state.missing().contains(member) {
                survivor.holds_weights = true;
                if let Some(incarnation) = group.incarnations.get(member) {
                    survivor.incarnation = *incarnation;
                }
            }
            self.add(survivor);
        }
    }

    /// Returns the members of a group after a repair and how many of them load weights, or
    /// `None` if the fabric domain has too few spares.
    ///
    /// A missing member that responds again stays in the group, unless a spare would serve
    /// sooner.
    pub(super) fn repair(
        &mut self,
        input: &PlanInput<'_>,
        group: &GroupRecord,
    ) -> Option<(Vec<PlannedMember>, usize)> {
        let is_gone = |member: &&InstanceId| {
            let returned = input
                .candidate(member)
                .is_some_and(|candidate| candidate.usable);
            input.is_missing(group, member) && !returned
        };
        let gone_count = group.members.iter().filter(is_gone).count();
        let mut spares = match gone_count {
            0 => Vec::new(),
            count => self.take(&group.domain, count)?,
        };
        let mut loads = 0;
        let mut members = Vec::with_capacity(group.members.len());
        for member in &group.members {
            let was_reported = group.state.missing().contains(member);
            let replacement = match input.candidate(member).filter(|candidate| candidate.usable) {
                Some(_) if !was_reported => None,
                Some(returned) => Some(self.spare_or(returned)),
                None => Some(spares.pop()?),
            };
            loads += usize::from(
                replacement
                    .as_ref()
                    .is_some_and(|candidate| !candidate.holds_weights),
            );
            members.push(match replacement {
                Some(candidate) => candidate.to_member(),
                None => PlannedMember {
                    instance: member.clone(),
                    incarnation: group.incarnations.get(member).copied().unwrap_or_default(),
                },
            });
        }
        Some((members, loads))
    }

    /// Returns a spare, if that needs no more loads than to keep a member that responds again: the
    /// member's fault may persist.
    fn spare_or(&mut self, returned: &Candidate) -> Candidate {
        let free = self.free.get(&returned.domain);
        let has_warm_spare = free.is_some_and(|free| free.iter().any(|spare| spare.holds_weights));
        if returned.holds_weights && !has_warm_spare {
            return returned.clone();
        }
        let spare = self
            .take(&returned.domain, 1)
            .and_then(|mut chosen| chosen.pop());
        spare.unwrap_or_else(|| returned.clone())
    }

    fn add(&mut self, candidate: Candidate) {
        let domain = candidate.domain.clone();
        self.free.entry(domain).or_default().push(candidate);
    }
}
