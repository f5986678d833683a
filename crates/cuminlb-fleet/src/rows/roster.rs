//! [`Roster`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupRecord;

/// All groups of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// The number that the next new group takes for its id and first epoch.
    pub next_epoch: Epoch,
    /// The groups.
    pub groups: Vec<GroupRecord>,
}

impl Roster {
    /// Returns a group.
    pub fn group(&self, id: &GroupId) -> Option<&GroupRecord> {
        self.groups.iter().find(|group| group.id == *id)
    }
    /// Returns a group that is still at an epoch, to change it.
    pub fn group_mut(&mut self, id: &GroupId, epoch: Epoch) -> Option<&mut GroupRecord> {
        self.groups
            .iter_mut()
            .find(|group| group.id == *id && group.epoch == epoch)
    }
}
