//! The identity under which a node holds slots.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One incarnation of a node that holds slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SlotHolder {
    /// The node.
    pub node: NodeId,
    /// The incarnation, which distinguishes this process of the node from earlier ones.
    pub incarnation: Incarnation,
}
