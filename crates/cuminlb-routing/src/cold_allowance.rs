//! The division of a cold instance's rate limit among the nodes.

use cuminlb_types::prelude::*;

use crate::node_rank::NodeRank;

/// Returns how many requests a node may send within a second to an instance that is cold.
///
/// All nodes together stay within `limit` without any message. The node at `position` in an order
/// of the `nodes` that is specific to the instance gets an equal share, and the first ones get what
/// remains. With more nodes than requests per second, only the first ones send at all.
pub fn cold_allowance(limit: RequestsPerSecond, nodes: usize, position: usize) -> usize {
    let total = limit.get().max(0.0).floor() as usize;
    NodeRank { nodes, position }.share(total)
}
