//! [`plan_assembly`].

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::{CloseMode, InstanceEntry, ModelShape, SeatState};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::candidate::Candidate;
use crate::{AssemblyStep, GroupTargets, GroupView, InstanceHealth, Situation, is_spare_group};

/// The loads that are started before a place for them is free.
const LOADS_AHEAD: usize = 2;

/// How much each spare of a model lessens the need for another one.
const SPARE_WEIGHT: f64 = 2.0;

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
    /// The groups that this plan forms, by part of the fabric and model.
    formed: BTreeMap<(Option<FabricDomainId>, ModelId), usize>,
}

impl<'a> Plan<'_, 'a> {
    /// Decides whether a group stands, opens, or is given up.
    fn review(&mut self, group: &'a GroupView) {
        let situation = self.situation;
        if is_spare_group(&group.group) {
            return;
        }
        let mut forming = situation.forming.iter();
        if let Some(forming) = forming.find(|it| it.group == group.group) {
            // The members that still show an earlier epoch are about to join this one.
            if forming.epoch == group.epoch {
                self.open_if_ready(group);
            }
            self.bind(group);
            return;
        }
        let is_kept = |id: &InstanceId| {
            let entry = situation.instances.get(id);
            situation.is_fine(id) && entry.is_some_and(|entry| !entry.is_leaving)
        };
        let head = group.head().map(|(id, _)| id);
        let is_head_listed = head.is_some_and(|head| !situation.unlisted.contains(head));
        // A group that does not serve yet is formed anew if a member may be taken away again by an
        // order that was given earlier: the new epoch makes that order void.
        let may_be_taken = group.can_open()
            && group.present().any(|id| {
                let late_orders = situation.late_orders;
                late_orders.may_be_taken(id, group.epoch, self.now)
            });
        let is_sound = group.is_whole() && is_head_listed && !may_be_taken;
        if is_sound && group.present().all(is_kept) {
            self.keep(group);
        } else {
            self.give_up(group);
        }
    }

    fn keep(&mut self, group: &GroupView) {
        let Some((_, state)) = group.head() else {
            return;
        };
        if *state == SeatState::Broken {
            // All members are back, but the head has given up: they join anew.
            return;
        }
        if *state == SeatState::Closing {
            self.bind(group);
            return;
        }
        let is_out = |id: &InstanceId| {
            let entry = self.situation.instances.get(id);
            entry.is_some_and(|entry| self.situation.zones_out.contains(&entry.zone))
        };
        if !group.present().any(is_out) {
            *self.standing.entry(group.shape.id.clone()).or_default() += 1;
        }
        self.open_if_ready(group);
        self.bind(group);
    }

    fn open_if_ready(&mut self, group: &GroupView) {
        let Some((head, _)) = group.head() else {
            return;
        };
        let is_fine = group.present().all(|id| self.situation.is_fine(id));
        if is_fine && group.can_open() && !self.situation.ordered.contains(head) {
            self.steps.push(AssemblyStep::Open {
                head: head.clone(),
                group: group.group.clone(),
                epoch: group.epoch,
            });
        }
    }

    /// Gives up a group that lacks a member: its head stops serving before anyone joins elsewhere.
    fn give_up(&mut self, group: &'a GroupView) {
        let situation = self.situation;
        let head = group.head();
        let head_health = head.and_then(|(id, _)| situation.health.get(id));
        match (head, head_health) {
            (Some((id, state)), None) => match state {
                SeatState::Open | SeatState::Closing => {
                    if *state == SeatState::Open && !situation.ordered.contains(id) {
                        let all_fine =
                            group.is_whole() && group.present().all(|m| situation.is_fine(m));
                        self.steps.push(AssemblyStep::Close {
                            head: id.clone(),
                            group: group.group.clone(),
                            epoch: group.epoch,
                            mode: if all_fine {
                                CloseMode::Finish
                            } else {
                                CloseMode::CutOff
                            },
                        });
                    }
                    self.giving_up.insert(group.shape.id.clone());
                    self.bind(group);
                }
                SeatState::Ready if self.may_open_late(group) => {
                    if !situation.ordered.contains(id) {
                        self.steps.push(AssemblyStep::StandDown {
                            head: id.clone(),
                            group: group.group.clone(),
                            epoch: group.epoch,
                        });
                    }
                    self.giving_up.insert(group.shape.id.clone());
                    self.bind(group);
                }
                SeatState::Joining | SeatState::Ready | SeatState::Broken => {}
            },
            (Some(_), Some(InstanceHealth::Ended)) => {}
            (None, _) if situation.has_head_moved(group) => {}
            (Some(_), Some(_)) | (None, _) => {
                self.orphans.push(group);
                self.bind(group);
            }
        }
    }

    /// Tells whether the head of a group may begin to serve by an order that was given earlier, so
    /// that it must leave before its members join elsewhere.
    fn may_open_late(&self, group: &GroupView) -> bool {
        let late_orders = self.situation.late_orders;
        late_orders.may_open(&group.group, group.epoch, self.now)
    }

    fn candidate(&self, entry: &'a InstanceEntry, shape: &ModelShape) -> Candidate<'a> {
        Candidate::new(entry, shape, self.situation.last_models.get(&entry.id))
    }

    /// Forms groups whose heads answer nothing again, under their own names and with a higher
    /// epoch: a head that still lives somewhere loses its members by that and serves nothing.
    /// Members of a group that can't be formed again leave it, to be free when their head must
    /// have given up.
    fn reform_orphans(&mut self, free: &mut FreeInstances<'a>) {
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

    fn bind(&mut self, group: &GroupView) {
        self.bound.extend(group.present().cloned());
    }

    fn free_instances(&self, now: Instant) -> FreeInstances<'a> {
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

    /// Forms groups of the models that lack most, as far as instances allow.
    fn form_groups(&mut self, free: &mut FreeInstances<'a>, now: Instant) {
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
    fn form_group(
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

    /// Loads weights onto unused instances, so that a later group forms sooner: in each part of
    /// the fabric those of the model whose groups there have most members for each spare.
    fn stage_weights(&mut self, free: &FreeInstances<'a>) {
        let engine = self.situation.engine;
        for (domain, instances) in free {
            let mut spares: BTreeMap<&ModelId, usize> = BTreeMap::new();
            for model in instances.iter().flat_map(|entry| &entry.staged) {
                *spares.entry(model).or_default() += 1;
            }
            let staging = &self.situation.staging;
            for model in instances.iter().filter_map(|entry| staging.get(&entry.id)) {
                *spares.entry(model).or_default() += 1;
            }
            let is_bare = |entry: &&&InstanceEntry| {
                entry.staged.is_empty() && !staging.contains_key(&entry.id)
            };
            for entry in instances.iter().filter(is_bare) {
                if self.situation.is_busy && self.loads_running >= self.most_loads() {
                    return;
                }
                let need = |model: &ModelShape| {
                    let members = self.members_in(domain.as_ref(), &model.id);
                    members as f64
                        / (1.0 + SPARE_WEIGHT * spares.get(&model.id).copied().unwrap_or(0) as f64)
                };
                let neediest = engine.models.iter().max_by(|a, b| {
                    need(a)
                        .total_cmp(&need(b))
                        .then(a.share.total_cmp(&b.share))
                });
                let Some(model) = neediest else { return };
                *spares.entry(&model.id).or_default() += 1;
                self.loads_running += 1;
                self.steps.push(AssemblyStep::Stage {
                    instance: entry.id.clone(),
                    model: model.id.clone(),
                });
            }
        }
    }

    /// Lets spares that hold weights join by themselves, so that they can help out at once.
    fn warm_spares(&mut self, free: &FreeInstances<'a>) {
        let last_models = self.situation.last_models;
        let is_warm = |id: &InstanceId| last_models.contains_key(id);
        for entry in free.values().flatten().filter(|entry| !is_warm(&entry.id)) {
            if let Some(model) = entry.staged.last() {
                self.steps.push(AssemblyStep::Warm {
                    instance: entry.id.clone(),
                    model: model.clone(),
                });
            }
        }
    }

    /// Tells whether a part of the fabric is kept for a larger group: while instances still show
    /// up one after the other, smaller groups would take the place of the larger ones.
    fn is_kept_free(&self, domain: Option<&FabricDomainId>, larger: &[&ModelShape]) -> bool {
        let lacks = |model: &&&ModelShape| self.formed_in(domain, model) == 0;
        !self.situation.is_busy && larger.iter().any(|model| lacks(&model))
    }

    /// Counts a model's groups in one part of the fabric, those to be formed included.
    fn formed_in(&self, domain: Option<&FabricDomainId>, model: &ModelShape) -> usize {
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
    fn most_loads(&self) -> usize {
        self.situation.engine.loads_at_once as usize + LOADS_AHEAD
    }

    /// Counts the members of a model's groups in one part of the fabric.
    fn members_in(&self, domain: Option<&FabricDomainId>, model: &ModelId) -> usize {
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
