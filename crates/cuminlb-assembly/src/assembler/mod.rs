//! [`Assembler`]; how it turns steps into orders is in `steps`.

mod steps;

use std::time::Duration;

use cuminlb_catalog::{GroupOrder, InstanceReport, OrderOutcome, Seat};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use crate::assembly_memory::AssemblyMemory;
use crate::{AssemblyView, GroupView, InstanceHealth, InstanceOrder, Situation, plan_assembly};

/// How long the effect of an order may take to show, its answer included.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// The pause before an order is given again that was not accepted.
const REPEAT_PAUSE: Duration = Duration::from_millis(200);

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
}
