//! Forms groups of the models that lack some, and those anew whose heads answer nothing.

use std::collections::BTreeSet;

use cuminlb_catalog::{InstanceEntry, ModelShape};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{DomainRank, FreeInstances, Plan};
use crate::candidate::Candidate;
use crate::{AssemblyStep, GroupTargets, GroupView};

/// The loads that are started before a place for them is free.
const LOADS_AHEAD: usize = 2;

impl<'a> Plan<'_, 'a> {
    pub(super) fn free_instances(&self, now: Instant) -> FreeInstances<'a> {
        let situation = self.situation;
        let mut free = FreeInstances::new();
        for entry in situation.instances.values() {
            let is_free = situation.is_usable(entry)
                && !self.bound.contains(&entry.id)
                && !situation.holds.holds(&entry.id, now);
            if is_free {
                free.entry(entry.domain.clone()).or_default().push(entry);
            }
        }
        free
    }

    /// Forms groups whose heads answer nothing again, under their own names and with a higher
    /// epoch: a head that still lives somewhere loses its members by that and serves nothing.
    /// Members of a group that can't be formed again leave it, to be free when their head must
    /// have given up.
    pub(super) fn reform_orphans(&mut self, free: &mut FreeInstances<'a>) {
        for group in std::mem::take(&mut self.orphans) {
            let situation = self.situation;
            let survivors: Vec<&'a InstanceEntry> = group
                .present()
                .filter_map(|id| situation.instances.get(id))
                .filter(|entry| situation.is_usable(entry))
                .collect();
            let Some(first) = survivors.first() else {
                continue;
            };
            let spares = free.entry(first.domain.clone()).or_default();
            let missing = group.members.len() - survivors.len();
            let mut helpers: Vec<Candidate<'a>> = spares
                .iter()
                .map(|entry| self.candidate(entry, &group.shape))
                .filter(|candidate| !candidate.must_load)
                .collect();
            helpers.sort_by_key(|candidate| candidate.join_ms);
            helpers.truncate(missing);
            if helpers.len() == missing {
                let helpers: Vec<InstanceId> =
                    helpers.iter().map(|it| it.entry.id.clone()).collect();
                spares.retain(|entry| !helpers.contains(&entry.id));
                let survivors = survivors.iter().map(|entry| entry.id.clone());
                *self.standing.entry(group.shape.id.clone()).or_default() += 1;
                self.steps.push(AssemblyStep::Form {
                    model: group.shape.id.clone(),
                    group: Some(group.group.clone()),
                    members: survivors.chain(helpers).collect(),
                    loads: 0,
                });
                continue;
            }
            for member in survivors {
                self.steps.push(AssemblyStep::Leave {
                    member: member.id.clone(),
                    group: group.group.clone(),
                    epoch: group.epoch,
                });
            }
        }
    }

    /// Forms groups of the models that lack most, as far as instances allow.
    pub(super) fn form_groups(&mut self, free: &mut FreeInstances<'a>, now: Instant) {
        let usable = |entry: &&InstanceEntry| {
            !entry.is_leaving
                && self.situation.is_fine(&entry.id)
                && !self.situation.zones_out.contains(&entry.zone)
        };
        let usable = self.situation.instances.values().filter(usable).count();
        let targets = GroupTargets::new(self.situation.engine, usable);
        let mut given_up: BTreeSet<&ModelId> = BTreeSet::new();
        loop {
            let standing = |model: &ModelShape| self.standing.get(&model.id).copied().unwrap_or(0);
            let lacking = self
                .situation
                .engine
                .models
                .iter()
                .filter(|model| !given_up.contains(&model.id))
                .filter(|model| standing(model) < targets.get(&model.id))
                .min_by(|a, b| {
                    let part =
                        |model: &ModelShape| standing(model) as f64 / targets.get(&model.id) as f64;
                    part(a).total_cmp(&part(b)).then(b.size.cmp(&a.size))
                });
            let Some(model) = lacking else { break };
            let larger = self.situation.engine.models.iter();
            let larger: Vec<&ModelShape> = larger
                .filter(|other| other.size > model.size)
                .filter(|other| standing(other) < targets.get(&other.id))
                .collect();
            if !self.form_group(model, &larger, free, now) {
                given_up.insert(&model.id);
            }
        }
    }

    /// Forms a group where it is best; `larger` are models with larger groups that lack some.
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
            if instances.len() < size || self.is_kept_free(domain.as_ref(), larger) {
                continue;
            }
            let mut candidates: Vec<_> = instances
                .iter()
                .map(|entry| self.candidate(entry, model))
                .collect();
            // Those that hold other weights are left for the models that need these.
            candidates
                .sort_by_key(|candidate| (candidate.join_ms, !candidate.entry.staged.is_empty()));
            candidates.truncate(size);
            let join_ms = candidates
                .iter()
                .map(|it| it.join_ms)
                .max()
                .unwrap_or_default();
            let loads = candidates.iter().filter(|it| it.must_load).count();
            let is_settled = || {
                instances
                    .iter()
                    .all(|it| !self.situation.is_new(&it.id, now))
            };
            if loads > 0 && (self.giving_up.contains(&model.id) || !is_settled()) {
                self.waits_for_loads = true;
                continue;
            }
            if loads > 0 && self.loads_running >= self.most_loads() {
                self.waits_for_loads = true;
                continue;
            }
            let rank = DomainRank {
                join_ms,
                same_model: self.formed_in(domain.as_ref(), model),
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
        if let Some(left) = free.get_mut(&domain) {
            left.retain(|entry| !members.contains(&entry.id));
        }
        self.loads_running += loads;
        let formed = (domain, model.id.clone());
        *self.formed.entry(formed).or_default() += 1;
        *self.standing.entry(model.id.clone()).or_default() += 1;
        self.steps.push(AssemblyStep::Form {
            model: model.id.clone(),
            group: None,
            members,
            loads,
        });
        true
    }

    pub(super) fn candidate(&self, entry: &'a InstanceEntry, shape: &ModelShape) -> Candidate<'a> {
        Candidate::new(entry, shape, self.situation.last_models.get(&entry.id))
    }

    /// Tells whether a part of the fabric is kept for a larger group: while instances still show
    /// up one after the other, smaller groups would take the place of the larger ones.
    pub(super) fn is_kept_free(
        &self,
        domain: Option<&FabricDomainId>,
        larger: &[&ModelShape],
    ) -> bool {
        let lacks = |model: &&&ModelShape| self.formed_in(domain, model) == 0;
        !self.situation.is_busy && larger.iter().any(|model| lacks(&model))
    }

    /// Counts a model's groups in one part of the fabric, those to be formed included.
    pub(super) fn formed_in(&self, domain: Option<&FabricDomainId>, model: &ModelShape) -> usize {
        let key = (domain.cloned(), model.id.clone());
        let planned = self.formed.get(&key).copied().unwrap_or(0);
        let in_domain = |id: &InstanceId| {
            let entry = self.situation.instances.get(id);
            entry.is_some_and(|entry| entry.domain.as_ref() == domain)
        };
        let forming = self.situation.forming.iter();
        let forming = forming.filter(|it| it.model == model.id && it.members.iter().any(in_domain));
        let standing = self.members_in(domain, &model.id) / model.size.get() as usize;
        planned + forming.count().max(standing)
    }

    /// Returns the number of loads that may be under way before another one starts: some more than
    /// run at full speed, so that none of these places is empty between two.
    pub(super) fn most_loads(&self) -> usize {
        self.situation.engine.loads_at_once as usize + LOADS_AHEAD
    }

    /// Counts the members of a model's groups in one part of the fabric.
    pub(super) fn members_in(&self, domain: Option<&FabricDomainId>, model: &ModelId) -> usize {
        let groups = self.situation.groups.iter();
        let in_domain = |id: &&InstanceId| {
            let entry = self.situation.instances.get(*id);
            entry.is_some_and(|entry| entry.domain.as_ref() == domain)
        };
        groups
            .filter(|group| group.shape.id == *model)
            .flat_map(GroupView::present)
            .filter(in_domain)
            .count()
    }
}
