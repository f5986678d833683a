//! [`NodeId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one node: one process of the system on one entry instance.
    NodeId, "node"
}
