//! Invariants of groups that hold however orders are delivered.

use cuminlb_catalog::SeatState;
use cuminlb_types::prelude::*;

use super::ClusterSimulation;
use crate::simulated_engine::SimulatedEngine;

impl ClusterSimulation {
    /// Fails if an engine is ordered into another group while the head of its own serves, unless
    /// it refuses the order as outdated.
    pub(super) fn check_no_overlap(&self, engine: &SimulatedEngine, group: &GroupId, epoch: Epoch) {
        let Some(membership) = &engine.membership else {
            return;
        };
        let is_refused = epoch < membership.seat.epoch;
        if membership.seat.group == *group || is_refused {
            return;
        }
        let head = &self.engines[&membership.members[0]];
        let has_same_seat = head.membership.as_ref().is_some_and(|current| {
            current.seat.group == membership.seat.group
                && current.seat.epoch == membership.seat.epoch
        });
        assert!(
            !(head.is_alive && has_same_seat && head.is_open()),
            "{} is ordered into {group} while {} is open; orders of that group: {:#?}",
            engine.id,
            membership.seat.group,
            self.history_of_group(&membership.seat.group)
        );
    }

    /// Returns the recorded orders that name a group.
    fn history_of_group(&self, group: &GroupId) -> Vec<&String> {
        let lines = self.history.iter();
        lines.filter(|line| line.contains(group.as_str())).collect()
    }

    /// Fails if a head starts to serve with the wrong number of members, or although a member was
    /// never ready in its group at its epoch.
    pub(super) fn check_complete(&self, head: &SimulatedEngine) {
        let membership = head.membership.as_ref().unwrap();
        let model = self.engine.models.iter().find(|model| {
            membership
                .seat
                .group
                .as_str()
                .starts_with(model.id.as_str())
        });
        assert_eq!(membership.members.len(), model.unwrap().size.get() as usize);
        for member in &membership.members {
            let was_ready = self.ready_members.iter().any(|(id, _, group, epoch)| {
                id == member && *group == membership.seat.group && *epoch == membership.seat.epoch
            });
            assert!(
                was_ready,
                "{member} was never ready in {}",
                membership.seat.group
            );
        }
    }

    /// Returns whether all members of a head's group are alive and have finished joining it.
    pub(super) fn is_complete(&self, head: &SimulatedEngine) -> bool {
        let Some(membership) = &head.membership else {
            return false;
        };
        membership.members.iter().all(|id| {
            let member = &self.engines[id];
            member.is_alive
                && member.membership.as_ref().is_some_and(|current| {
                    current.seat.group == membership.seat.group
                        && current.seat.epoch == membership.seat.epoch
                        && current.seat.state != SeatState::Joining
                })
        })
    }
}
