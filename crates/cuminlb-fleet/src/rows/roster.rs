//! The row `roster/SERVICE`.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::GroupRecord;
use super::group_record::epoch_fencing;

/// All groups of one service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Roster {
    /// Despite its name, the last epoch that was assigned to a group of the service; the next group
    /// that is formed or repaired gets the one after it. A new group has its first epoch in its id.
    pub next_epoch: Epoch,
    /// The groups.
    pub groups: Vec<GroupRecord>,
}

impl Roster {
    /// Returns the group with the given id.
    pub fn group(&self, id: &GroupId) -> Option<&GroupRecord> {
        self.groups.iter().find(|group| group.id == *id)
    }

    /// Returns a mutable reference to the group with the given id, if its epoch is still `epoch`.
    pub fn group_mut(&mut self, id: &GroupId, epoch: Epoch) -> Option<&mut GroupRecord> {
        self.groups
            .iter_mut()
            .find(|group| group.id == *id && group.epoch == epoch)
    }

    /// Returns the fencing number of an order to an instance that is in no group; the orders of
    /// the group that it joins next have higher numbers.
    pub const fn free_order_fencing(&self) -> FencingNumber {
        epoch_fencing(self.next_epoch)
    }
}
