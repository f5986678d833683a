//! Reconstructs groups from the seats that their members report.

use std::collections::BTreeMap;

use cuminlb_catalog::{EngineSpec, InstanceEntry, ModelShape, SeatState};
use cuminlb_types::prelude::*;

use crate::group_model;

/// A group as reported by the entries of its members.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupView {
    /// The group.
    pub group: GroupId,
    /// The epoch of its member list.
    pub epoch: Epoch,
    /// The shape of its model's groups.
    pub shape: ModelShape,
    /// The member at each rank, or `None` where no entry reports that seat.
    pub members: Vec<Option<(InstanceId, SeatState)>>,
}

impl GroupView {
    /// Collects the groups that instances report. Entries with the same group and epoch form one
    /// view; groups of unknown models are skipped.
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
            if let Some(slot) = view.members.get_mut(seat.rank as usize) {
                *slot = Some((entry.id.clone(), seat.state));
            }
        }
        groups.into_values().collect()
    }

    /// Returns the head and the state of its seat, or `None` if no entry reports the head's seat.
    pub fn head(&self) -> Option<&(InstanceId, SeatState)> {
        self.members.first()?.as_ref()
    }

    /// Returns the members whose entries report their seats.
    pub fn present(&self) -> impl Iterator<Item = &InstanceId> {
        self.members.iter().flatten().map(|(id, _)| id)
    }

    /// Returns whether the members of all ranks are present.
    pub fn is_complete(&self) -> bool {
        self.members.iter().all(Option::is_some)
    }

    /// Returns whether every member is ready and the head does not serve yet.
    pub fn can_open(&self) -> bool {
        let is_ready = |member: &Option<(InstanceId, SeatState)>| {
            matches!(member, Some((_, SeatState::Ready)))
        };
        self.members.iter().all(is_ready)
    }

    /// Returns whether the head serves and every member has finished joining.
    pub fn is_serving(&self) -> bool {
        let is_joined = |member: &Option<(InstanceId, SeatState)>| {
            // Any other state will do, as the head's state is checked separately.
            matches!(member, Some((_, state)) if *state != SeatState::Joining)
        };
        matches!(self.head(), Some((_, SeatState::Open))) && self.members.iter().all(is_joined)
    }
}
