//! The links to the other nodes, shared by the tasks of a node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_peer::PeerLink;
use cuminlb_types::prelude::*;

/// The links to the other nodes.
#[derive(Debug, Default)]
pub struct Peers {
    links: Mutex<HashMap<NodeId, Arc<PeerLink>>>,
}

impl Peers {
    /// Adds a link, or replaces the one to a previous address of the node.
    pub fn insert(&self, node: NodeId, link: Arc<PeerLink>) {
        self.lock().insert(node, link);
    }

    /// Removes the link to a node that is no longer listed.
    pub fn remove(&self, node: &NodeId) {
        self.lock().remove(node);
    }

    /// Returns the link to a node.
    pub fn get(&self, node: &NodeId) -> Option<Arc<PeerLink>> {
        self.lock().get(node).cloned()
    }

    /// Returns all links.
    pub fn all(&self) -> Vec<(NodeId, Arc<PeerLink>)> {
        self.lock()
            .iter()
            .map(|(node, link)| (node.clone(), Arc::clone(link)))
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Arc<PeerLink>>> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
