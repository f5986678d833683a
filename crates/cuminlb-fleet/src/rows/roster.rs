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
}
