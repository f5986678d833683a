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
    /// The owner found members missing; the group serves no more until it is repaired.
    Broken {
        /// The members that are missing, have restarted or are leaving.
        missing: Vec<InstanceId>,
    },
}
