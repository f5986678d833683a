//! Turns the steps of a plan into orders, and remembers what they will show.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_catalog::{GroupOrder, InstanceEntry};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::{Assembler, EFFECT_TIMEOUT};
use crate::{
    AssemblyStep, AssemblyView, FormingGroup, InstanceOrder, group_name, spare_group_name,
};

/// How many times longer than stated a load may take, as loads slow each other.
const LOAD_FACTOR: u32 = 3;

/// The time that forming a group may take beside its slowest join.
const FORM_SLACK: Duration = Duration::from_millis(3_000);

impl Assembler {
    pub(super) fn take_step(
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
