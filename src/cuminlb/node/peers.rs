//! [`Peers`].

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
    /// Adds a link, or puts it in the place of one to another address.
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
