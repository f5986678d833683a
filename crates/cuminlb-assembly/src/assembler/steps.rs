//! Turns the steps of a plan into orders, and records the effects to wait for.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::{GroupOrder, InstanceEntry};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::{Assembler, EFFECT_TIMEOUT};
use crate::{AssemblyView, FormingGroup, InstanceOrder, PlanStep, group_name, spare_group_name};

/// The timeout of a load as a multiple of its nominal time, as concurrent loads slow each other
/// down.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// The time that forming a group may take in addition to its slowest join.
const FORM_TIMEOUT_MARGIN: Duration = Duration::from_millis(3_000);

impl Assembler {
    /// Appends the orders of a step to `orders`, and records the effects to wait for.
    pub(super) fn apply_step(
        &mut self,
        step: PlanStep,
        view: &AssemblyView<'_>,
        now: Instant,
        orders: &mut Vec<InstanceOrder>,
    ) {
        let (instance, order) = match step {
            PlanStep::Close {
                head,
                group,
                epoch,
                mode,
            } => (head, GroupOrder::Close { group, epoch, mode }),
            PlanStep::Leave {
                member,
                group,
                epoch,
            } => {
                self.state.hold_after_leaving(&member);
                (member, GroupOrder::Leave { group, epoch })
            }
            PlanStep::RemoveHead { head, group, epoch } => {
                (head, GroupOrder::Leave { group, epoch })
            }
            PlanStep::Open { head, group, epoch } => {
                self.state.head_openings.record_open(&group, epoch, now);
                (head, GroupOrder::Open { group, epoch })
            }
            PlanStep::Warm { instance, model } => {
                let Some(order) = self.warm_spare(&instance, model, now) else {
                    return;
                };
                (instance, order)
            }
            PlanStep::Stage { instance, model } => {
                let shape = view.engine.model(&model);
                let load_ms = shape.map_or(Millis(0), |shape| shape.load_ms);
                let until = now + load_ms.duration() * LOAD_TIMEOUT_FACTOR;
                self.state.record_staging(&instance, &model, until);
                let order = GroupOrder::Stage { model };
                orders.push(InstanceOrder { instance, order });
                return;
            }
            PlanStep::Form {
                model,
                group,
                members,
                loads,
            } => {
                self.form(model, group, members, loads, view, now, orders);
                return;
            }
        };
        self.record_pending_effect(&instance, view.instances, now + EFFECT_TIMEOUT);
        orders.push(InstanceOrder { instance, order });
    }

    /// Assigns a new epoch to a group and orders its members to join.
    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of one step and the context that it is applied in"
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
            warn!(model:% = model; "the model is unknown or its name is too long for a group name");
            return;
        };
        let join_timeout = if loads > 0 {
            shape.load_ms.duration() * LOAD_TIMEOUT_FACTOR
        } else {
            shape.warm_join_ms.duration()
        };
        let names: Vec<&str> = members.iter().map(InstanceId::as_str).collect();
        info!(
            group:% = group, epoch:% = epoch, members = names.join(","), loads = loads;
            "group forms"
        );
        for member in &members {
            let outstanding_orders = &mut self.state.outstanding_orders;
            outstanding_orders.record_join(member.clone(), epoch, now);
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
        self.state
            .forming
            .push((forming, now + join_timeout + FORM_TIMEOUT_MARGIN));
    }

    /// Assigns a new epoch to an unused instance's single-member group, which never serves, and
    /// returns the join order, or `None` if the model's name is too long for a group name.
    fn warm_spare(
        &mut self,
        instance: &InstanceId,
        model: ModelId,
        now: Instant,
    ) -> Option<GroupOrder> {
        self.epoch = self.epoch.next();
        let outstanding_orders = &mut self.state.outstanding_orders;
        outstanding_orders.record_join(instance.clone(), self.epoch, now);
        Some(GroupOrder::Join {
            group: spare_group_name(&model, self.epoch)?,
            epoch: self.epoch,
            model,
            members: vec![instance.clone()],
        })
    }

    /// Records that an order should change the instance's seat by `until`.
    fn record_pending_effect(
        &mut self,
        id: &InstanceId,
        instances: &BTreeMap<InstanceId, Arc<InstanceEntry>>,
        until: Instant,
    ) {
        let seat = instances.get(id).and_then(|entry| entry.seat.clone());
        self.state.record_order(id, seat, until);
    }
}
