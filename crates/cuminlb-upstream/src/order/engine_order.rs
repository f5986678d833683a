//! The orders that nodes send to engines.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{GroupMember, Membership};

/// An order to an engine, with the fencing number of the lease under which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineOrder {
    /// The fencing number; some engines refuse an order with an outdated one.
    pub fencing: FencingNumber,
    /// The operation to execute.
    pub kind: OrderKind,
}

/// The operation that an order requests from an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the weights of the model, without joining a group yet.
    Load,
    /// Load its partition of the model and join a group.
    Join {
        /// The group and the epoch to join.
        membership: Membership,
        /// All members, the leader first.
        members: Vec<GroupMember>,
    },
    /// Leave a group, if the engine is still a member of it at this epoch.
    Leave {
        /// The group and the epoch to leave.
        membership: Membership,
    },
}
