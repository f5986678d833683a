//! The orders that the leader sends to instances.

use cuminlb_types::prelude::*;

/// An order to an instance about its membership in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupOrder {
    /// Become a member of a group; the first member is its head.
    Join {
        /// The group.
        group: GroupId,
        /// The epoch of this member list.
        epoch: Epoch,
        /// The model that the group serves.
        model: ModelId,
        /// All members, in the order of their ranks.
        members: Vec<InstanceId>,
    },
    /// Start serving as the head.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Stop serving as the head.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// How requests in flight are ended.
        mode: CloseMode,
    },
    /// Stop being a member.
    Leave {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// Load the weights of a model onto the host.
    Stage {
        /// The model.
        model: ModelId,
    },
}

/// How requests in flight are ended when a head stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// They run to completion.
    Finish,
    /// They are aborted.
    CutOff,
}

impl GroupOrder {
    /// Returns the name of the order in log lines.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Join { .. } => "join",
            Self::Open { .. } => "open",
            Self::Close { .. } => "close",
            Self::Leave { .. } => "leave",
            Self::Stage { .. } => "stage",
        }
    }
}
