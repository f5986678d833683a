//! Forms missing groups, and forms groups again whose heads do not respond.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use cuminlb_catalog::{InstanceEntry, ModelShape};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{DomainRank, FreeInstances, PlanBuilder};
use crate::candidate::Candidate;
use crate::{GroupTargets, PlanStep};

/// The number of loads that may be started beyond those that run at full speed.
const EXTRA_LOADS: usize = 2;

impl<'a> PlanBuilder<'_, 'a> {
    /// Returns the instances that may join a new group, by fabric domain.
    pub(super) fn free_instances(&self, now: Instant) -> FreeInstances<'a> {
        let input = self.input;
        let mut free = FreeInstances::new();
        for entry in input.instances.values().map(Arc::as_ref) {
            let is_free = input.is_eligible(entry)
                && !self.reserved.contains(&entry.id)
                && !input.join_holds.is_held(&entry.id, now);
            if is_free {
                free.entry(entry.domain.clone()).or_default().push(entry);
            }
        }
        free
    }

    /// Forms groups again whose heads do not respond, under the same name and with a higher epoch.
    /// A head that is still alive but partitioned thereby loses its members and cannot serve.
    ///
    /// If a group cannot be formed again, its members are ordered to leave it. They become free
    /// once the head must have stopped waiting for them.
    pub(super) fn rebuild_orphaned_groups(&mut self, free: &mut FreeInstances<'a>) {
        for group in std::mem::take(&mut self.orphans) {
            let input = self.input;
            let survivors: Vec<&'a InstanceEntry> = group
                .present()
                .filter_map(|id| input.instances.get(id).map(Arc::as_ref))
                .filter(|entry| input.is_eligible(entry))
                .collect();
            let Some(first) = survivors.first() else {
                continue;
            };
            let spares = free.entry(first.domain.clone()).or_default();
            let missing = group.members.len() - survivors.len();
            let mut replacements: Vec<Candidate<'a>> = spares
                .iter()
                .map(|entry| self.candidate(entry, &group.shape))
                .filter(|candidate| !candidate.must_load)
                .collect();
            replacements.sort_by_key(|candidate| candidate.join_ms);
            replacements.truncate(missing);
            if replacements.len() == missing {
                let replacements: Vec<InstanceId> = replacements
                    .iter()
                    .map(|candidate| candidate.entry.id.clone())
                    .collect();
                spares.retain(|entry| !replacements.contains(&entry.id));
                let survivors = survivors.iter().map(|entry| entry.id.clone());
                *self
                    .active_groups
                    .entry(group.shape.id.clone())
                    .or_default() += 1;
                self.steps.push(PlanStep::Form {
                    model: group.shape.id.clone(),
                    group: Some(group.group.clone()),
                    members: survivors.chain(replacements).collect(),
                    loads: 0,
                });
                continue;
            }
            for member in survivors {
                self.steps.push(PlanStep::Leave {
                    member: member.id.clone(),
                    group: group.group.clone(),
                    epoch: group.epoch,
                });
            }
        }
    }

    /// Forms groups for the models that are furthest below their targets, as far as the free
    /// instances allow.
    pub(super) fn form_groups(&mut self, free: &mut FreeInstances<'a>, now: Instant) {
        let usable = |entry: &&InstanceEntry| {
            !entry.is_leaving
                && self.input.is_healthy(&entry.id)
                && !self.input.zones_out.contains(&entry.zone)
        };
        let mut domain_sizes: BTreeMap<Option<&FabricDomainId>, usize> = BTreeMap::new();
        for entry in self
            .input
            .instances
            .values()
            .map(Arc::as_ref)
            .filter(usable)
        {
            *domain_sizes.entry(entry.domain.as_ref()).or_default() += 1;
        }
        let domain_sizes = domain_sizes.into_values();
        let targets = GroupTargets::new(self.input.engine, self.input.spares, domain_sizes);
        let mut skipped: BTreeSet<&ModelId> = BTreeSet::new();
        loop {
            let active =
                |model: &ModelShape| self.active_groups.get(&model.id).copied().unwrap_or(0);
            let lacking = self
                .input
                .engine
                .models
                .iter()
                .filter(|model| !skipped.contains(&model.id))
                .filter(|model| active(model) < targets.get(&model.id))
                .min_by(|a, b| {
                    let fill_ratio =
                        |model: &ModelShape| active(model) as f64 / targets.get(&model.id) as f64;
                    fill_ratio(a)
                        .total_cmp(&fill_ratio(b))
                        .then(b.size.cmp(&a.size))
                });
            let Some(model) = lacking else { break };
            let larger = self.input.engine.models.iter();
            let larger: Vec<&ModelShape> = larger
                .filter(|other| other.size > model.size)
                .filter(|other| active(other) < targets.get(&other.id))
                .collect();
            if !self.form_group(model, &larger, free, now) {
                skipped.insert(&model.id);
            }
        }
    }

    /// Forms a group in the fabric domain with the lowest [`DomainRank`]. Returns whether it could
    /// be formed.
    ///
    /// `larger` are the models below their targets whose groups are larger.
    pub(super) fn form_group(
        &mut self,
        model: &ModelShape,
        larger: &[&ModelShape],
        free: &mut FreeInstances<'a>,
        now: Instant,
    ) -> bool {
        let size = model.size.get() as usize;
        let mut best: Option<(
            DomainRank,
            Option<FabricDomainId>,
            Vec<Candidate<'a>>,
            usize,
        )> = None;
        for (domain, instances) in free.iter() {
            if instances.len() < size || self.is_reserved_for_larger(domain.as_ref(), larger) {
                continue;
            }
            let mut candidates: Vec<_> = instances
                .iter()
                .map(|entry| self.candidate(entry, model))
                .collect();
            // Among equal join times, instances with weights of other models come last, as those
            // models need them.
            candidates
                .sort_by_key(|candidate| (candidate.join_ms, !candidate.entry.staged.is_empty()));
            candidates.truncate(size);
            let join_ms = candidates
                .iter()
                .map(|it| it.join_ms)
                .max()
                .unwrap_or_default();
            let loads = candidates.iter().filter(|it| it.must_load).count();
            let is_registration_complete = || {
                instances
                    .iter()
                    .all(|entry| !self.input.is_newly_registered(&entry.id, now))
            };
            if loads > 0 && (self.dissolving.contains(&model.id) || !is_registration_complete()) {
                self.waits_for_loads = true;
                continue;
            }
            if loads > 0 && self.loads_in_flight >= self.max_loads() {
                self.waits_for_loads = true;
                continue;
            }
            let rank = DomainRank {
                join_ms,
                same_model: self.groups_in(domain.as_ref(), model),
                unused: std::cmp::Reverse(instances.len()),
            };
            if best
                .as_ref()
                .is_none_or(|(best_rank, ..)| rank < *best_rank)
            {
                best = Some((rank, domain.clone(), candidates, loads));
            }
        }
        let Some((_, domain, members, loads)) = best else {
            return false;
        };
        let members: Vec<InstanceId> = members.iter().map(|it| it.entry.id.clone()).collect();
        if let Some(remaining) = free.get_mut(&domain) {
            remaining.retain(|entry| !members.contains(&entry.id));
        }
        self.loads_in_flight += loads;
        let key = (domain, model.id.clone());
        *self.planned_groups.entry(key).or_default() += 1;
        *self.active_groups.entry(model.id.clone()).or_default() += 1;
        self.steps.push(PlanStep::Form {
            model: model.id.clone(),
            group: None,
            members,
            loads,
        });
        true
    }

    /// Returns an instance as a candidate for a group of the given shape.
    pub(super) fn candidate(&self, entry: &'a InstanceEntry, shape: &ModelShape) -> Candidate<'a> {
        Candidate::new(entry, shape, self.input.last_models.get(&entry.id))
    }

    /// Returns whether a fabric domain is reserved for a larger group. Before the first caller,
    /// while instances still register one after the other, smaller groups would otherwise use up
    /// the instances that the larger ones need.
    pub(super) fn is_reserved_for_larger(
        &self,
        domain: Option<&FabricDomainId>,
        larger: &[&ModelShape],
    ) -> bool {
        let lacks = |model: &&&ModelShape| self.groups_in(domain, model) == 0;
        !self.input.is_busy && larger.iter().any(|model| lacks(&model))
    }

    /// Counts a model's groups in one fabric domain, including those that are being formed or
    /// planned.
    pub(super) fn groups_in(&self, domain: Option<&FabricDomainId>, model: &ModelShape) -> usize {
        let key = (domain.cloned(), model.id.clone());
        let planned = self.planned_groups.get(&key).copied().unwrap_or(0);
        let in_domain = |id: &InstanceId| {
            let entry = self.input.instances.get(id);
            entry.is_some_and(|entry| entry.domain.as_ref() == domain)
        };
        let forming = self.input.forming.iter();
        let forming = forming.filter(|it| it.model == model.id && it.members.iter().any(in_domain));
        let existing = self.members_in(domain, &model.id) / model.size.get() as usize;
        planned + forming.count().max(existing)
    }

    /// Returns the number of loads in flight from which no other load is started. It is slightly
    /// more than can run at full speed, so that no capacity is idle between two loads.
    pub(super) fn max_loads(&self) -> usize {
        self.input.engine.max_concurrent_loads as usize + EXTRA_LOADS
    }

    /// Counts the present members of a model's groups in one fabric domain.
    pub(super) fn members_in(&self, domain: Option<&FabricDomainId>, model: &ModelId) -> usize {
        let key = (domain.cloned(), model.clone());
        self.present_members.get(&key).copied().unwrap_or(0)
    }
}
