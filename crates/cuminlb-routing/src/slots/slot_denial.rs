//! [`SlotDenial`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::SlotLoad;

/// The reason why the owner of a group grants no slot.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[derive(thiserror::Error)]
pub enum SlotDenial {
    /// The node that was asked does not own the group.
    #[error("the node does not own the group")]
    NotOwner {
        /// The owner, where the node knows it.
        owner: Option<NodeId>,
    },
    /// There is no fresh proof that every member is up.
    #[error("the group does not serve")]
    NotServing,
    /// The owner is new and does not know yet what the owner before it granted.
    #[error("the owner of the group is still counting the requests that run")]
    Recovering,
    /// The group has another epoch by now.
    #[error("the group is at epoch {epoch}")]
    EpochChanged {
        /// The epoch.
        epoch: Epoch,
    },
    /// All slots are taken.
    #[error("all slots are taken: {} of {}", load.taken, load.limit)]
    Full {
        /// The load of the group.
        load: SlotLoad,
    },
}
