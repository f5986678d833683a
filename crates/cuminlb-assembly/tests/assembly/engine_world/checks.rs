//! What must hold of groups, whatever becomes of orders.

use cuminlb_catalog::SeatState;
use cuminlb_types::prelude::*;

use super::EngineWorld;
use crate::model_engine::ModelEngine;

impl EngineWorld {
    /// Fails if an engine is taken into another group while the head of its own serves.
    pub(super) fn check_two(&self, engine: &ModelEngine, group: &GroupId, epoch: Epoch) {
        let Some(place) = &engine.place else { return };
        let would_be_refused = epoch < place.seat.epoch;
        if place.seat.group == *group || would_be_refused {
            return;
        }
        let head = &self.engines[&place.members[0]];
        let is_same = head.place.as_ref().is_some_and(|at| {
            at.seat.group == place.seat.group && at.seat.epoch == place.seat.epoch
        });
        assert!(
            !(head.is_alive && is_same && head.is_open()),
            "{} is taken into {group} while {} is open; orders of that group: {:#?}",
            engine.id,
            place.seat.group,
            self.history_of(&place.seat.group)
        );
    }

    fn history_of(&self, group: &GroupId) -> Vec<&String> {
        let lines = self.history.iter();
        lines.filter(|line| line.contains(group.as_str())).collect()
    }

    /// Fails if a head begins to serve and a member was never ready in its group.
    pub(super) fn check_partial(&self, head: &ModelEngine) {
        let place = head.place.as_ref().unwrap();
        let size = self
            .engine
            .models
            .iter()
            .find(|model| place.seat.group.as_str().starts_with(model.id.as_str()));
        assert_eq!(place.members.len(), size.unwrap().size.get() as usize);
        for member in &place.members {
            let was_ready = self.been_ready.iter().any(|(id, _, group, epoch)| {
                id == member && *group == place.seat.group && *epoch == place.seat.epoch
            });
            assert!(
                was_ready,
                "{member} was never ready in {}",
                place.seat.group
            );
        }
    }

    pub(super) fn is_whole(&self, head: &ModelEngine) -> bool {
        let Some(place) = &head.place else {
            return false;
        };
        place.members.iter().all(|id| {
            let member = &self.engines[id];
            member.is_alive
                && member.place.as_ref().is_some_and(|at| {
                    at.seat.group == place.seat.group
                        && at.seat.epoch == place.seat.epoch
                        && at.seat.state != SeatState::Joining
                })
        })
    }
}
