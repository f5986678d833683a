//! The nodes as one of them knows them.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlb_types::prelude::*;

use crate::NodeRow;

/// The nodes as one of them knows them.
#[derive(Clone, Debug)]
pub struct Membership {
    /// This node.
    pub own_id: NodeId,
    /// The availability zone of this node.
    pub zone: ZoneId,
    /// The leader, if one is known.
    pub leader: Option<NodeId>,
    /// All nodes that are listed, including this one.
    pub nodes: Arc<BTreeMap<NodeId, NodeRow>>,
}

impl Membership {
    /// Returns whether this node leads.
    pub fn is_leader(&self) -> bool {
        self.leader.as_ref() == Some(&self.own_id)
    }
}
