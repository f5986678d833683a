//! [`NodeRow`].

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The start of the keys of nodes.
const KEY_PREFIX: &str = "node/";

/// What a node says of itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct NodeRow {
    /// Where the other nodes connect.
    pub(crate) peer: SocketAddr,
    /// The availability zone.
    pub(crate) zone: ZoneId,
    /// Tells one start of the process from the next.
    pub(crate) incarnation: Incarnation,
}

impl NodeRow {
    /// Returns the key of a node's row.
    pub(crate) fn key(node: &NodeId) -> Option<RowKey> {
        format!("{KEY_PREFIX}{node}").parse().ok()
    }

    /// Returns the node that a row is of, if it is a node's.
    pub(crate) fn node(key: &RowKey) -> Option<NodeId> {
        key.as_str().strip_prefix(KEY_PREFIX)?.parse().ok()
    }
}
