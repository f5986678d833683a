//! Decides which existing groups are kept, opened or dissolved.

use std::sync::Arc;

use cuminlb_catalog::{CloseMode, InstanceEntry, SeatState};
use cuminlb_types::prelude::*;

use super::PlanBuilder;
use crate::{GroupView, InstanceHealth, PlanStep, is_spare_group};

impl<'a> PlanBuilder<'_, 'a> {
    /// Decides whether a group is kept, opened or dissolved.
    pub(super) fn evaluate_group(&mut self, group: &'a GroupView) {
        let input = self.input;
        if is_spare_group(&group.group) {
            return;
        }
        let mut forming = input.forming.iter();
        if let Some(forming) = forming.find(|forming| forming.group == group.group) {
            // Members that still report an earlier epoch are about to join at this one.
            if forming.epoch == group.epoch {
                self.open_if_ready(group);
            }
            self.reserve(group);
            return;
        }
        let is_staying = |id: &InstanceId| {
            let entry = input.instances.get(id);
            input.is_alive(id) && entry.is_some_and(|entry| !entry.is_leaving)
        };
        let head = group.head().map(|(id, _)| id);
        let is_head_listed = head.is_some_and(|head| !input.unlisted.contains(head));
        // If a join order sent earlier may still move a member of a group that does not serve yet,
        // the group is formed again: the instance refuses the old order once it has seen the new,
        // higher epoch.
        let may_be_reassigned = group.can_open()
            && group.present().any(|id| {
                let outstanding_orders = input.outstanding_orders;
                outstanding_orders.may_be_reassigned(id, group.epoch, self.now)
            });
        let is_intact = group.is_complete() && is_head_listed && !may_be_reassigned;
        if is_intact
            && group.present().all(is_staying)
            && !self.reserve_straggler_replacements(group)
        {
            self.keep_group(group);
        } else {
            self.dissolve_group(group);
        }
    }

    /// Returns whether a group has stragglers and enough spares can replace them immediately. If
    /// so, reserves these spares for the group.
    fn reserve_straggler_replacements(&mut self, group: &GroupView) -> bool {
        let stragglers = group.present().filter(|id| self.input.is_slow(id)).count();
        stragglers > 0 && self.reserve_spares(group, stragglers)
    }

    /// Reserves spares that can replace `count` members of a group without loading weights. Returns
    /// whether there are enough.
    fn reserve_spares(&mut self, group: &GroupView, count: usize) -> bool {
        let input = self.input;
        let domain = group.present().find_map(|id| input.instances.get(id));
        let Some(domain) = domain.map(|entry| entry.domain.clone()) else {
            return false;
        };
        let is_spare = |entry: &&InstanceEntry| {
            let seat = entry.seat.as_ref();
            entry.domain == domain
                && input.is_eligible(entry)
                && entry.has_staged(&group.shape.id)
                && seat.is_none_or(|seat| is_spare_group(&seat.group))
        };
        let spares = input
            .instances
            .values()
            .map(Arc::as_ref)
            .filter(is_spare)
            .count();
        let reserved = self.reserved_spares.entry(domain).or_default();
        if *reserved + count > spares {
            return false;
        }
        *reserved += count;
        true
    }

    /// Keeps a group: opens it if it is ready, and reserves its members.
    pub(super) fn keep_group(&mut self, group: &GroupView) {
        let Some((_, state)) = group.head() else {
            return;
        };
        if *state == SeatState::Broken {
            // All members are present again, but the head no longer waits for them: the members
            // must join again.
            return;
        }
        if *state == SeatState::Closing {
            self.reserve(group);
            return;
        }
        let is_in_excluded_zone = |id: &InstanceId| {
            let entry = self.input.instances.get(id);
            entry.is_some_and(|entry| self.input.zones_out.contains(&entry.zone))
        };
        if !group.present().any(is_in_excluded_zone) {
            *self
                .active_groups
                .entry(group.shape.id.clone())
                .or_default() += 1;
        }
        self.open_if_ready(group);
        self.reserve(group);
    }

    /// Opens a group if all members are alive and ready and no order to the head is pending.
    pub(super) fn open_if_ready(&mut self, group: &GroupView) {
        let Some((head, _)) = group.head() else {
            return;
        };
        let is_alive = group.present().all(|id| self.input.is_alive(id));
        if is_alive && group.can_open() && !self.input.awaiting_effect.contains(head) {
            self.steps.push(PlanStep::Open {
                head: head.clone(),
                group: group.group.clone(),
                epoch: group.epoch,
            });
        }
    }

    /// Dissolves a group that is not intact or whose stragglers are to be replaced. Its head must
    /// stop serving before any member joins another group.
    pub(super) fn dissolve_group(&mut self, group: &'a GroupView) {
        let input = self.input;
        let head = group.head().map(|(id, _)| id);
        if input.head_openings.has_left(&group.group, group.epoch) {
            // The entry of a listed head soon shows that it has left, and it can join the next group
            // of its members.
            if head.is_some_and(|head| self.is_effect_due(head)) {
                self.dissolving.insert(group.shape.id.clone());
                self.reserve(group);
            }
            return;
        }
        let head_health = head.and_then(|id| input.health.get(id));
        let head_health = head_health.filter(|health| **health != InstanceHealth::Slow);
        match (head, head_health) {
            (Some(head), None) => self.stop_head(group, head),
            (Some(_), Some(InstanceHealth::Ended)) => {}
            (None, _) if input.has_head_left(group) => {}
            (Some(_), Some(_)) | (None, _) => {
                self.orphans.push(group);
                self.reserve(group);
            }
        }
    }

    /// Orders the head of a group that is being dissolved to stop serving, and reserves the members
    /// until it certainly does not serve.
    fn stop_head(&mut self, group: &GroupView, head: &InstanceId) {
        let state = self.input.head_state(group);
        let may_be_open = self
            .input
            .head_openings
            .may_be_open(&group.group, group.epoch, self.now);
        let step = match state {
            Some(SeatState::Broken) => return,
            Some(SeatState::Joining | SeatState::Ready) if !may_be_open => return,
            // A head that only the store lost may soon be back, and its group is whole then.
            Some(SeatState::Joining | SeatState::Ready)
                if self.input.unlisted.contains(head) && !self.reserve_spares(group, 1) =>
            {
                None
            }
            Some(SeatState::Joining | SeatState::Ready) => Some(PlanStep::RemoveHead {
                head: head.clone(),
                group: group.group.clone(),
                epoch: group.epoch,
            }),
            Some(SeatState::Open) => Some(PlanStep::Close {
                head: head.clone(),
                group: group.group.clone(),
                epoch: group.epoch,
                mode: self.close_mode(group),
            }),
            // An unlisted head is probed first, as streams of an open one would be cut.
            Some(SeatState::Closing) | None => None,
        };
        let is_awaiting_effect = self.input.awaiting_effect.contains(head);
        self.steps.extend(step.filter(|_| !is_awaiting_effect));
        self.dissolving.insert(group.shape.id.clone());
        self.reserve(group);
    }

    /// Returns whether the entry of an instance should soon show the effect of its last order.
    fn is_effect_due(&self, id: &InstanceId) -> bool {
        self.input.awaiting_effect.contains(id) && !self.input.unlisted.contains(id)
    }

    /// Returns how the requests in flight at the head of a group are ended.
    fn close_mode(&self, group: &GroupView) -> CloseMode {
        let are_healthy = group.present().all(|member| self.input.is_healthy(member));
        if group.is_complete() && are_healthy {
            CloseMode::Finish
        } else {
            CloseMode::CutOff
        }
    }

    /// Reserves the present members of a group, so that no other group uses them.
    pub(super) fn reserve(&mut self, group: &GroupView) {
        self.reserved.extend(group.present().cloned());
    }
}
