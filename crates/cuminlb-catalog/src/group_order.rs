//! [`GroupOrder`].

use cuminlb_types::prelude::*;

/// What an instance is told to do about groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupOrder {
    /// Become a member of a group; the first member is its head.
    Join {
        /// The group.
        group: GroupId,
        /// The epoch of this list of members.
        epoch: Epoch,
        /// The model that the group serves.
        model: ModelId,
        /// All members in the order of their ranks.
        members: Vec<InstanceId>,
    },
    /// As the head, start serving.
    Open {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
    },
    /// As the head, stop serving.
    Close {
        /// The group.
        group: GroupId,
        /// Its epoch.
        epoch: Epoch,
        /// What becomes of the requests that run.
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

/// What becomes of the requests that run when a head stops serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseMode {
    /// They run to their end first.
    Finish,
    /// They are cut off.
    CutOff,
}

impl GroupOrder {
    /// Returns the word for logs.
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
