//! [`SlotHolder`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A node that holds slots, from one start of its process to the end of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct SlotHolder {
    /// The node.
    pub node: NodeId,
    /// Tells this start of the node from earlier ones.
    pub incarnation: Incarnation,
}
