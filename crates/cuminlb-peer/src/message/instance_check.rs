//! What an instance must do to count as reached.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What an instance must do to count as reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum InstanceCheck {
    /// It accepts a connection.
    Accepts,
    /// It responds to a probe, with a report or not.
    Responds,
    /// It responds to a probe with a report.
    Reports,
    /// It responds to a probe with a report, and is still in a group.
    HoldsSeat {
        /// The group.
        group: GroupId,
        /// The epoch of the group.
        epoch: Epoch,
    },
}
