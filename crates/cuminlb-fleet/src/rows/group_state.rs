//! The lifecycle state of a group, as stored in the roster.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The lifecycle state of a group, which decides whether it may serve.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GroupState {
    /// All members are expected to be up.
    Intact,
    /// The group is no longer wanted: it accepts no new requests, and those in flight complete.
    Draining,
    /// No request is in flight any more, so the members can be freed.
    Drained,
    /// The owner found members missing; the group does not serve until it is repaired.
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
