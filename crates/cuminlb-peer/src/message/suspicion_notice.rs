//! [`SuspicionNotice`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Says that the head of a group has fallen silent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The node that noticed it.
    pub node: NodeId,
    /// The head.
    pub head: InstanceId,
    /// The group.
    pub group: GroupId,
    /// Its epoch.
    pub epoch: Epoch,
    /// How long nothing has come from it.
    pub silent_ms: Millis,
}
