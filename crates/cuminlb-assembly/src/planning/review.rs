//! Decides which groups stand, which open and which are given up.

use cuminlb_catalog::{CloseMode, InstanceEntry, SeatState};
use cuminlb_types::prelude::*;

use super::Plan;
use crate::{AssemblyStep, GroupView, InstanceHealth, is_spare_group};

impl<'a> Plan<'_, 'a> {
    /// Decides whether a group stands, opens, or is given up.
    pub(super) fn review(&mut self, group: &'a GroupView) {
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
            situation.is_alive(id) && entry.is_some_and(|entry| !entry.is_leaving)
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
        if is_sound && group.present().all(is_kept) && !self.replaces_stragglers(group) {
            self.keep(group);
        } else {
            self.give_up(group);
        }
    }

    /// Tells whether a group has members that hold it up and spares that can take their places at
    /// once; these spares are then promised to it.
    fn replaces_stragglers(&mut self, group: &GroupView) -> bool {
        let situation = self.situation;
        let stragglers = group.present().filter(|id| situation.is_slow(id)).count();
        let domain = group.present().find_map(|id| situation.instances.get(id));
        let Some(domain) = domain.map(|entry| entry.domain.clone()) else {
            return false;
        };
        if stragglers == 0 {
            return false;
        }
        let is_spare = |entry: &&InstanceEntry| {
            let seat = entry.seat.as_ref();
            entry.domain == domain
                && situation.is_usable(entry)
                && entry.has_staged(&group.shape.id)
                && seat.is_none_or(|seat| is_spare_group(&seat.group))
        };
        let spares = situation.instances.values().filter(is_spare).count();
        let promised = self.promised.entry(domain).or_default();
        if *promised + stragglers > spares {
            return false;
        }
        *promised += stragglers;
        true
    }

    pub(super) fn keep(&mut self, group: &GroupView) {
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

    pub(super) fn open_if_ready(&mut self, group: &GroupView) {
        let Some((head, _)) = group.head() else {
            return;
        };
        let is_alive = group.present().all(|id| self.situation.is_alive(id));
        if is_alive && group.can_open() && !self.situation.ordered.contains(head) {
            self.steps.push(AssemblyStep::Open {
                head: head.clone(),
                group: group.group.clone(),
                epoch: group.epoch,
            });
        }
    }

    /// Gives up a group that lacks a member: its head stops serving before anyone joins elsewhere.
    pub(super) fn give_up(&mut self, group: &'a GroupView) {
        let situation = self.situation;
        let head = group.head();
        let head_health = head.and_then(|(id, _)| situation.health.get(id));
        let head_health = head_health.filter(|health| **health != InstanceHealth::Slow);
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
    pub(super) fn may_open_late(&self, group: &GroupView) -> bool {
        let late_orders = self.situation.late_orders;
        late_orders.may_open(&group.group, group.epoch, self.now)
    }

    pub(super) fn bind(&mut self, group: &GroupView) {
        self.bound.extend(group.present().cloned());
    }
}
