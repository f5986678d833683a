//! The notice of a silent head.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Notifies the leader that the head of a group has become silent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspicionNotice {
    /// The node that detected it.
    pub node: NodeId,
    /// The head.
    pub head: InstanceId,
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// The time since anything was last received from the head. Zero is no evidence of a silence: the
    /// links of the node may be at fault, or it asks for a check for another reason.
    pub silent_ms: Millis,
}
