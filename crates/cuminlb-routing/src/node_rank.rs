//! The place of a node in an order of all nodes.

/// The place of a node in an order of all nodes that is specific to an instance, by which the nodes divide
/// the instance's rate limits without any message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeRank {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of nodes before this one.
    pub position: usize,
}

impl NodeRank {
    /// Returns this node's share of `total` requests. All nodes get an equal share, and the first ones get
    /// what remains. With more nodes than requests, only the first ones get any.
    pub fn share(&self, total: usize) -> usize {
        let nodes = self.nodes.max(1);
        let has_remainder = self.position < total % nodes;
        total / nodes + usize::from(has_remainder)
    }
}
