//! The nodes that are listed in the store.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::NodeRow;

/// How long a node still counts that a restored store lacks. It writes its row again.
const MISSING_RETENTION: Duration = Duration::from_secs(15);

/// The nodes that are listed in the store.
#[derive(Clone, Debug, Default)]
pub struct NodeRecords {
    nodes: Arc<BTreeMap<NodeId, NodeRow>>,
    /// Until when each node counts that is missing in the store.
    missing: BTreeMap<NodeId, Instant>,
}

impl NodeRecords {
    /// Stores the row of a node; returns whether it has changed.
    pub fn put(&mut self, node: NodeId, row: NodeRow) -> bool {
        self.missing.remove(&node);
        if self.nodes.get(&node) == Some(&row) {
            return false;
        }
        Arc::make_mut(&mut self.nodes).insert(node, row);
        true
    }

    /// Handles the removal of the row of a node; returns whether there was one.
    pub fn remove(&mut self, node: &NodeId) -> bool {
        self.missing.remove(node);
        self.nodes.contains_key(node) && Arc::make_mut(&mut self.nodes).remove(node).is_some()
    }

    /// Handles a node that the copy lacks which the store was restored from.
    pub fn restore_absence(&mut self, node: &NodeId, now: Instant) {
        if self.nodes.contains_key(node) {
            let until = now + MISSING_RETENTION;
            self.missing.entry(node.clone()).or_insert(until);
        }
    }

    /// Removes the nodes that have been missing in the store for long; returns whether there were
    /// any.
    pub fn remove_expired(&mut self, now: Instant) -> bool {
        let expired = self.missing.extract_if(.., |_, until| now >= *until);
        let expired: Vec<NodeId> = expired.map(|(node, _)| node).collect();
        for node in &expired {
            Arc::make_mut(&mut self.nodes).remove(node);
        }
        !expired.is_empty()
    }

    /// Returns the nodes.
    pub fn nodes(&self) -> Arc<BTreeMap<NodeId, NodeRow>> {
        Arc::clone(&self.nodes)
    }
}
