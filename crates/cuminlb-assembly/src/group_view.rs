//! [`GroupView`].

use std::collections::BTreeMap;

use cuminlb_catalog::{EngineSpec, InstanceEntry, ModelShape, SeatState};
use cuminlb_types::prelude::*;

use crate::group_model;

/// A group as the entries of its members show it.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// The epoch of its list of members.
    pub epoch: Epoch,
    /// The shape of its model's groups.
    pub shape: ModelShape,
    /// The member of each rank, where one shows itself.
    pub members: Vec<Option<(InstanceId, SeatState)>>,
}

impl GroupView {
    /// Puts together the groups that instances report. Entries of one group and epoch belong
    /// together; a group of an unknown model is left out.
    pub fn collect<'a>(
        engine: &EngineSpec,
        entries: impl Iterator<Item = &'a InstanceEntry>,
    ) -> Vec<Self> {
        let mut groups: BTreeMap<(GroupId, Epoch), Self> = BTreeMap::new();
        for entry in entries {
            let Some(seat) = &entry.seat else { continue };
            let model = group_model(&seat.group);
            let Some(shape) = model.and_then(|model| engine.model(&model)) else {
                continue;
            };
            let view = groups
                .entry((seat.group.clone(), seat.epoch))
                .or_insert_with(|| Self {
                    group: seat.group.clone(),
                    epoch: seat.epoch,
                    shape: shape.clone(),
                    members: vec![None; shape.size.get() as usize],
                });
            if let Some(place) = view.members.get_mut(seat.rank as usize) {
                *place = Some((entry.id.clone(), seat.state));
            }
        }
        groups.into_values().collect()
    }

    /// Returns the head and its state, if it shows itself.
    pub fn head(&self) -> Option<&(InstanceId, SeatState)> {
        self.members.first()?.as_ref()
    }

    /// Returns the members that show themselves.
    pub fn present(&self) -> impl Iterator<Item = &InstanceId> {
        self.members.iter().flatten().map(|(id, _)| id)
    }

    /// Tells whether every rank shows itself.
    pub fn is_whole(&self) -> bool {
        self.members.iter().all(Option::is_some)
    }

    /// Tells whether every member is ready and the head does not serve yet.
    pub fn can_open(&self) -> bool {
        let is_ready = |member: &Option<(InstanceId, SeatState)>| {
            matches!(member, Some((_, SeatState::Ready)))
        };
        self.members.iter().all(is_ready)
    }

    /// Tells whether the head serves and every member is there.
    pub fn is_serving(&self) -> bool {
        let is_joined = |member: &Option<(InstanceId, SeatState)>| matches!(member, Some((_, state)) if *state != SeatState::Joining);
        matches!(self.head(), Some((_, SeatState::Open))) && self.members.iter().all(is_joined)
    }
}
