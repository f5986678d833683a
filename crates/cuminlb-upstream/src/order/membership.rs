//! [`Membership`].

use std::fmt;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The group that an instance is in, and at which epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Membership {
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: Epoch,
}

impl fmt::Display for Membership {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} at epoch {}", self.group, self.epoch)
    }
}
