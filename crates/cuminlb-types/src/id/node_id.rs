//! The id by which nodes, events and operators refer to a node.

use crate::macros::text_id;

text_id! {
    /// Identifies a node: one process of the system on one entry instance.
    NodeId, "node"
}
