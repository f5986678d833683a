//! [`GroupState`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Whether a group may serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// All members are expected to be up.
    Intact,
    /// The group is no longer wanted: it takes no new work, and what is in flight ends.
    Draining,
    /// Nothing is in flight any more, so the members can be freed.
    Drained,
    /// The owner found members missing; the group serves no more until it is repaired.
    Broken {
        /// The members that are missing, have restarted or are leaving.
        missing: Vec<InstanceId>,
    },
}

impl GroupState {
    /// Returns the members that the owner reported missing.
    pub fn missing(&self) -> &[InstanceId] {
        match self {
            Self::Broken { missing } => missing,
            Self::Intact | Self::Draining | Self::Drained => &[],
        }
    }
}
