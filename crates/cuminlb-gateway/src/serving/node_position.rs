//! The position of a node in the order of the nodes that is specific to an instance.

use std::collections::BTreeMap;
use std::sync::Arc;

use cuminlb_replica::NodeRow;
use cuminlb_routing::NodeRank;
use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;

/// The position of a node among the nodes that it was computed for.
#[derive(Debug)]
pub(super) struct NodePosition {
    nodes: Arc<BTreeMap<NodeId, NodeRow>>,
    position: usize,
}

impl NodePosition {
    /// Computes the position of a node in the order of all `nodes` that is specific to an instance.
    pub(super) fn new(
        instance: &InstanceId,
        node: &NodeId,
        nodes: &Arc<BTreeMap<NodeId, NodeRow>>,
    ) -> Self {
        let own_rank = rendezvous_rank(instance, node);
        let is_before = |node: &&NodeId| rendezvous_rank(instance, node) > own_rank;
        Self {
            nodes: Arc::clone(nodes),
            position: nodes.keys().filter(is_before).count(),
        }
    }

    /// Returns the position among the number of nodes.
    pub(super) fn rank(&self) -> NodeRank {
        NodeRank {
            nodes: self.nodes.len(),
            position: self.position,
        }
    }

    /// Returns whether the position was computed for these nodes.
    pub(super) fn is_of(&self, nodes: &Arc<BTreeMap<NodeId, NodeRow>>) -> bool {
        Arc::ptr_eq(&self.nodes, nodes)
    }
}
