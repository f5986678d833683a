//! [`Assembler`].

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_catalog::{GroupOrder, InstanceEntry, InstanceReport, OrderOutcome, Seat};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use crate::assembly_memory::AssemblyMemory;
use crate::{
    AssemblyStep, AssemblyView, FormingGroup, GroupView, InstanceHealth, InstanceOrder, Situation,
    group_name, plan_assembly, spare_group_name,
};

/// How long the effect of an order may take to show, its answer included.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// The pause before an order is given again that was not accepted.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

/// How many times longer than stated a load may take, as loads slow each other.
const LOAD_FACTOR: u32 = 3;

/// The time that forming a group may take beside its slowest join.
const FORM_SLACK: Duration = Duration::from_millis(3_000);

/// How many times longer than usual an instance takes that is better replaced.
pub const STRAGGLER_SLOWDOWN: f64 = 6.0;

/// Forms and mends the groups of one service for as long as a node leads.
#[derive(Debug)]
pub struct Assembler {
    memory: AssemblyMemory,
    epoch: Epoch,
}

impl Assembler {
    /// Starts without memories. All epochs are above `base`, and heads without members give up
    /// within `give_up`.
    pub fn new(base: Epoch, give_up: Duration, now: Instant) -> Self {
        Self {
            memory: AssemblyMemory::new(base, give_up, now),
            epoch: base,
        }
    }

    /// Returns the orders to give now.
    pub fn act(&mut self, view: &AssemblyView<'_>, now: Instant) -> Vec<InstanceOrder> {
        self.memory.note_seen(now, view);
        self.memory.forget_past(now, view.instances);
        self.review_forming(view, now);
        let steps = plan_assembly(
            &Situation {
                engine: view.engine,
                instances: view.instances,
                groups: view.groups,
                forming: &self.memory.forming_groups(),
                health: &self.memory.health,
                ordered: &self.memory.ordered(),
                staging: &self.memory.staging(),
                holds: &self.memory.holds,
                first_seen: &self.memory.first_seen,
                late_orders: &self.memory.late_orders,
                last_models: &self.memory.last_models(),
                heads: &self.memory.heads,
                unlisted: view.unlisted,
                zones_out: view.zones_out,
                is_busy: view.is_busy,
                loads_running: self.memory.loads_running(),
            },
            now,
        );
        let mut orders = Vec::new();
        for step in steps {
            self.take_step(step, view, now, &mut orders);
        }
        orders
    }

    /// Takes in what became of an order; returns whether the instance should be asked how it is.
    pub fn note_outcome(
        &mut self,
        instance: &InstanceId,
        order: &GroupOrder,
        outcome: OrderOutcome,
        now: Instant,
    ) -> bool {
        if let (GroupOrder::Join { epoch, .. }, true) = (order, outcome != OrderOutcome::Unknown) {
            self.memory.late_orders.note_join_answered(instance, *epoch);
        }
        match order {
            GroupOrder::Leave { .. } if outcome.is_accepted() => {
                self.memory.note_left(instance, now);
            }
            GroupOrder::Stage { .. } if !outcome.is_accepted() => {
                self.memory.clear_staging(instance);
            }
            GroupOrder::Join { epoch, .. } if !outcome.is_accepted() => {
                // Another epoch, higher than this one, comes next: should this order be carried
                // out late, the instance refuses it.
                let forming = &mut self.memory.forming;
                forming.retain(|(forming, _)| forming.epoch != *epoch);
                if outcome != OrderOutcome::Unknown {
                    // It is left out until it answers when it is asked how it is.
                    self.note_silence(instance);
                }
            }
            GroupOrder::Open { group, epoch } if outcome != OrderOutcome::Unknown => {
                let (group, until) = (group.clone(), now + EFFECT_TIMEOUT);
                self.memory
                    .late_orders
                    .note_open_answered(group, *epoch, until);
                if !outcome.is_accepted() {
                    self.memory.wait_until(instance, now + REPEAT_PAUSE);
                }
            }
            GroupOrder::Open { .. } | GroupOrder::Close { .. } if !outcome.is_accepted() => {
                self.memory.wait_until(instance, now + REPEAT_PAUSE);
            }
            _ => {}
        }
        matches!(outcome, OrderOutcome::Unreachable | OrderOutcome::Unknown)
    }

    /// Takes in that an instance has answered.
    pub fn note_answer(
        &mut self,
        instance: &InstanceId,
        report: &InstanceReport,
        view: &AssemblyView<'_>,
    ) {
        let place =
            |seat: &Option<Seat>| seat.as_ref().map(|seat| (seat.group.clone(), seat.epoch));
        let entry = view.instances.get(instance);
        // The entry of an unlisted instance changes no more, so it may be out of date.
        let has_moved = view.unlisted.contains(instance)
            && entry.is_none_or(|entry| place(&entry.seat) != place(&report.seat));
        let health = if has_moved {
            Some(InstanceHealth::Ended)
        } else if report.slowdown >= STRAGGLER_SLOWDOWN {
            Some(InstanceHealth::Slow)
        } else {
            None
        };
        let was = match health {
            Some(health) => self.memory.health.insert(instance.clone(), health),
            None => self.memory.health.remove(instance),
        };
        info!(
            instance:% = instance, was:? = was, seat:? = report.seat, has_moved = has_moved,
            running = report.running, waiting = report.waiting, slowdown = report.slowdown;
            "instance answers"
        );
    }

    /// Takes in that an instance answers nothing.
    pub fn note_silence(&mut self, instance: &InstanceId) {
        let silent = InstanceHealth::Silent;
        if self.memory.health.insert(instance.clone(), silent) != Some(silent) {
            info!(instance:% = instance; "instance silent");
        }
    }

    /// Tells whether something spoke against an instance when it was last asked how it is.
    pub fn is_doubted(&self, instance: &InstanceId) -> bool {
        self.memory.health.contains_key(instance)
    }

    /// Forgets groups that serve by now, and those that can't be formed any more.
    fn review_forming(&mut self, view: &AssemblyView<'_>, now: Instant) {
        let health = &self.memory.health;
        let is_lost = |id: &InstanceId| {
            let health = health.get(id);
            health.is_some_and(|health| *health != InstanceHealth::Slow)
        };
        self.memory.forming.retain(|(forming, until)| {
            let group = view
                .groups
                .iter()
                .find(|group| group.group == forming.group && group.epoch == forming.epoch);
            if group.is_some_and(GroupView::is_serving) {
                info!(group:% = forming.group, epoch:% = forming.epoch; "group serves");
                return false;
            }
            let lost = forming.members.iter().find(|id| {
                let entry = view.instances.get(*id);
                is_lost(id) || entry.is_none_or(|entry| entry.is_leaving)
            });
            if let Some(lost) = lost {
                warn!(group:% = forming.group, instance:% = lost; "a member was lost while forming");
                return false;
            }
            if now >= *until {
                warn!(group:% = forming.group, epoch:% = forming.epoch; "forming took too long");
                return false;
            }
            true
        });
    }

    fn take_step(
        &mut self,
        step: AssemblyStep,
        view: &AssemblyView<'_>,
        now: Instant,
        orders: &mut Vec<InstanceOrder>,
    ) {
        let (instance, order) = match step {
            AssemblyStep::Close {
                head,
                group,
                epoch,
                mode,
            } => (head, GroupOrder::Close { group, epoch, mode }),
            AssemblyStep::Leave {
                member,
                group,
                epoch,
            } => {
                self.memory.hold_once_left(&member);
                (member, GroupOrder::Leave { group, epoch })
            }
            AssemblyStep::StandDown { head, group, epoch } => {
                (head, GroupOrder::Leave { group, epoch })
            }
            AssemblyStep::Open { head, group, epoch } => {
                self.memory.late_orders.note_open(group.clone(), epoch, now);
                (head, GroupOrder::Open { group, epoch })
            }
            AssemblyStep::Warm { instance, model } => {
                let Some(order) = self.warm(&instance, model, now) else {
                    return;
                };
                (instance, order)
            }
            AssemblyStep::Stage { instance, model } => {
                let shape = view.engine.model(&model);
                let load_ms = shape.map_or(Millis(0), |shape| shape.load_ms);
                let until = now + load_ms.duration() * LOAD_FACTOR;
                self.memory.note_staging(&instance, &model, until);
                let order = GroupOrder::Stage { model };
                orders.push(InstanceOrder { instance, order });
                return;
            }
            AssemblyStep::Form {
                model,
                group,
                members,
                loads,
            } => {
                self.form(model, group, members, loads, view, now, orders);
                return;
            }
        };
        self.note_effect(&instance, view.instances, now + EFFECT_TIMEOUT);
        orders.push(InstanceOrder { instance, order });
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the parts of one step and its surroundings"
    )]
    fn form(
        &mut self,
        model: ModelId,
        group: Option<GroupId>,
        members: Vec<InstanceId>,
        loads: usize,
        view: &AssemblyView<'_>,
        now: Instant,
        orders: &mut Vec<InstanceOrder>,
    ) {
        self.epoch = self.epoch.next();
        let epoch = self.epoch;
        let group = group.or_else(|| group_name(&model, epoch));
        let (Some(group), Some(shape)) = (group, view.engine.model(&model)) else {
            warn!(model:% = model; "the model's name is too long for its groups");
            return;
        };
        let join = if loads > 0 {
            shape.load_ms.duration() * LOAD_FACTOR
        } else {
            shape.warm_ms.duration()
        };
        let list: Vec<&str> = members.iter().map(InstanceId::as_str).collect();
        info!(
            group:% = group, epoch:% = epoch, members = list.join(","), loads = loads;
            "group forms"
        );
        for member in &members {
            let late_orders = &mut self.memory.late_orders;
            late_orders.note_join(member.clone(), epoch, now);
        }
        orders.extend(members.iter().map(|member| InstanceOrder {
            instance: member.clone(),
            order: GroupOrder::Join {
                group: group.clone(),
                epoch,
                model: model.clone(),
                members: members.clone(),
            },
        }));
        let forming = FormingGroup {
            group,
            epoch,
            model,
            members,
            loads,
        };
        self.memory.forming.push((forming, now + join + FORM_SLACK));
    }

    /// Makes an unused instance the only member of a group that never serves.
    fn warm(&mut self, instance: &InstanceId, model: ModelId, now: Instant) -> Option<GroupOrder> {
        self.epoch = self.epoch.next();
        let late_orders = &mut self.memory.late_orders;
        late_orders.note_join(instance.clone(), self.epoch, now);
        Some(GroupOrder::Join {
            group: spare_group_name(&model, self.epoch)?,
            epoch: self.epoch,
            model,
            members: vec![instance.clone()],
        })
    }

    /// Remembers that an order will show its effect in an instance's seat.
    fn note_effect(
        &mut self,
        id: &InstanceId,
        instances: &BTreeMap<InstanceId, InstanceEntry>,
        until: Instant,
    ) {
        let seat = instances.get(id).and_then(|entry| entry.seat.clone());
        self.memory.note_order(id, seat, until);
    }
}
