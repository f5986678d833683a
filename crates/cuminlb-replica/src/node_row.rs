//! The store row by which a node registers itself.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::NodeCapacity;

/// The prefix of the keys of node rows.
const KEY_PREFIX: &str = "node/";

/// What a node reports about itself in the store.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct NodeRow {
    /// The address that the other nodes connect to.
    pub peer: SocketAddr,
    /// The address on which it forwards requests of other nodes, if it does.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forwarding: Option<SocketAddr>,
    /// The availability zone.
    pub zone: ZoneId,
    /// The capacity of the machine.
    #[serde(default)]
    pub capacity: NodeCapacity,
}

impl NodeRow {
    /// Returns the key of a node's row.
    pub fn key(node: &NodeId) -> Option<RowKey> {
        format!("{KEY_PREFIX}{node}").parse().ok()
    }

    /// Returns the node that a key belongs to, if it is the key of a node row.
    pub fn node(key: &RowKey) -> Option<NodeId> {
        key.as_str().strip_prefix(KEY_PREFIX)?.parse().ok()
    }
}
