//! The membership of an instance in a group, used in orders and reports.

use std::fmt;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The group that an instance belongs to, and the epoch at which it joined.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at epoch {}", self.group, self.epoch)
    }
}
