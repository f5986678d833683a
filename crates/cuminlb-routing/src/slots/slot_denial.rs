//! The reasons for which a slot request is denied.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SlotLoad;

/// The reason why a node denies a slot request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(thiserror::Error)]
pub enum SlotDenial {
    /// The node does not own the group.
    #[error("the node does not own the group")]
    NotOwner {
        /// The owner, if the node knows it.
        owner: Option<NodeId>,
    },
    /// The owner has no fresh proof that every member is up.
    #[error("the group is not serving")]
    NotServing,
    /// The owner is new and does not know yet which requests the previous owner let through.
    #[error("the owner of the group is still determining which requests run")]
    Recovering,
    /// The group is at another epoch.
    #[error("the group is at epoch {epoch}")]
    EpochChanged {
        /// The current epoch of the group.
        epoch: Epoch,
    },
    /// All slots are taken.
    #[error("all slots are taken: {} of {}", load.taken, load.limit)]
    Full {
        /// The load of the group.
        load: SlotLoad,
    },
    /// Another request that is suspected of crashing groups may run at the group.
    #[error("another suspect runs at the group")]
    SuspectRunning,
}
