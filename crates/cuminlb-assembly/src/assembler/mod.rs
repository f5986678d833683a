//! Runs the plan of one service: [`Assembler`] updates its state from order outcomes and probes,
//! and `steps` turns the steps of a plan into orders.

mod steps;

use std::time::Duration;

use cuminlb_catalog::{GroupOrder, InstanceReport, OrderOutcome, Seat};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use crate::assembly_state::AssemblyState;
use crate::{AssemblyView, GroupView, InstanceHealth, InstanceOrder, PlanInput, plan_assembly};

/// The time until the effect of an order must be visible, including the time for its response.
const EFFECT_TIMEOUT: Duration = Duration::from_millis(1_700);

/// The delay before an order that was not accepted is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// The slowdown, as a multiple of the normal time, from which an instance is a straggler that
/// should be replaced.
pub const STRAGGLER_SLOWDOWN: f64 = 6.0;

/// Forms and repairs the groups of one service while this node is the leader.
#[derive(Debug)]
pub struct Assembler {
    state: AssemblyState,
    epoch: Epoch,
}

impl Assembler {
    /// Creates an assembler with no recorded orders.
    ///
    /// It assigns epochs above `base_epoch`. Heads without members stop serving within
    /// `stall_timeout`.
    pub fn new(base_epoch: Epoch, stall_timeout: Duration, now: Instant) -> Self {
        Self {
            state: AssemblyState::new(base_epoch, stall_timeout, now),
            epoch: base_epoch,
        }
    }

    /// Plans the groups of the service and returns the orders to send now.
    pub fn plan_orders(&mut self, view: &AssemblyView<'_>, now: Instant) -> Vec<InstanceOrder> {
        self.state.record_view(now, view);
        self.state.remove_expired(now, view.instances);
        self.remove_settled_groups(view, now);
        let steps = plan_assembly(
            &PlanInput {
                engine: view.engine,
                spares: view.spares,
                instances: view.instances,
                groups: view.groups,
                forming: &self.state.forming_groups(),
                health: &self.state.health,
                awaiting_effect: &self.state.awaiting_effect(),
                staging: &self.state.staging(),
                join_holds: &self.state.join_holds,
                first_seen: &self.state.first_seen,
                head_openings: &self.state.head_openings,
                reported_seats: &self.state.reported_seats,
                outstanding_orders: &self.state.outstanding_orders,
                last_models: &self.state.last_models(),
                heads: &self.state.heads,
                unlisted: view.unlisted,
                zones_out: view.zones_out,
                is_busy: view.is_busy,
                loads_in_flight: self.state.loads_in_flight(),
            },
            now,
        );
        let mut orders = Vec::new();
        for step in steps {
            self.apply_step(step, view, now, &mut orders);
        }
        orders
    }

    /// Handles the outcome of an order. Returns whether the instance should be probed.
    pub fn record_outcome(
        &mut self,
        instance: &InstanceId,
        order: &GroupOrder,
        outcome: OrderOutcome,
        now: Instant,
    ) -> bool {
        if let (GroupOrder::Join { epoch, .. }, true) = (order, outcome != OrderOutcome::Unknown) {
            self.state
                .outstanding_orders
                .record_join_response(instance, *epoch);
        }
        match order {
            GroupOrder::Leave { group, epoch } if outcome.is_accepted() => {
                self.state.handle_leave(instance, group, *epoch, now);
            }
            GroupOrder::Stage { .. } if !outcome.is_accepted() => {
                self.state.clear_staging(instance);
            }
            GroupOrder::Join { epoch, .. } if !outcome.is_accepted() => {
                // The next attempt has a higher epoch. If this order is carried out late, after
                // that attempt, the instance refuses it.
                let forming = &mut self.state.forming;
                forming.retain(|(forming, _)| forming.epoch != *epoch);
                if outcome != OrderOutcome::Unknown {
                    // The instance is not used again until it responds to a probe.
                    self.mark_silent(instance);
                }
            }
            GroupOrder::Open { group, epoch } if outcome != OrderOutcome::Unknown => {
                let head_openings = &mut self.state.head_openings;
                head_openings.record_open_response(group, *epoch);
                if !outcome.is_accepted() {
                    self.state.set_effect_deadline(instance, now + RETRY_DELAY);
                }
            }
            GroupOrder::Open { .. } | GroupOrder::Close { .. } if !outcome.is_accepted() => {
                self.state.set_effect_deadline(instance, now + RETRY_DELAY);
            }
            _ => {}
        }
        let is_leave = matches!(order, GroupOrder::Leave { .. });
        matches!(outcome, OrderOutcome::Unreachable | OrderOutcome::Unknown)
            || is_leave && outcome == OrderOutcome::Conflict
    }

    /// Handles the report of an instance that has responded to a probe.
    pub fn handle_report(
        &mut self,
        instance: &InstanceId,
        report: &InstanceReport,
        view: &AssemblyView<'_>,
    ) {
        let group_of =
            |seat: &Option<Seat>| seat.as_ref().map(|seat| (seat.group.clone(), seat.epoch));
        let entry = view.instances.get(instance);
        // The entry of an unlisted instance is no longer updated, so it may be out of date.
        if view.unlisted.contains(instance) {
            let seat = report.seat.as_ref();
            self.state.record_reported_seat(instance, seat);
        }
        let has_moved = view.unlisted.contains(instance)
            && entry.is_none_or(|entry| group_of(&entry.seat) != group_of(&report.seat));
        let health = if has_moved {
            Some(InstanceHealth::Ended)
        } else if report.slowdown >= STRAGGLER_SLOWDOWN {
            Some(InstanceHealth::Slow)
        } else {
            None
        };
        let previous = match health {
            Some(health) => self.state.health.insert(instance.clone(), health),
            None => self.state.health.remove(instance),
        };
        info!(
            instance:% = instance, was:? = previous, seat:? = report.seat, has_moved = has_moved,
            running = report.running, waiting = report.waiting, slowdown = report.slowdown;
            "instance answers"
        );
    }

    /// Marks an instance as silent.
    pub fn mark_silent(&mut self, instance: &InstanceId) {
        let silent = InstanceHealth::Silent;
        if self.state.health.insert(instance.clone(), silent) != Some(silent) {
            info!(instance:% = instance; "instance silent");
        }
    }

    /// Returns whether an instance was last found slow, silent or ended.
    pub fn is_suspect(&self, instance: &InstanceId) -> bool {
        self.state.health.contains_key(instance)
    }

    /// Removes forming groups that serve now and those that can no longer be formed.
    fn remove_settled_groups(&mut self, view: &AssemblyView<'_>, now: Instant) {
        let health = &self.state.health;
        let is_lost = |id: &InstanceId| {
            let known = health.get(id);
            known.is_some_and(|known| *known != InstanceHealth::Slow)
        };
        self.state.forming.retain(|(forming, deadline)| {
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
                warn!(
                    group:% = forming.group, instance:% = lost;
                    "a member was lost while forming"
                );
                return false;
            }
            if now >= *deadline {
                warn!(group:% = forming.group, epoch:% = forming.epoch; "forming took too long");
                return false;
            }
            true
        });
    }
}
