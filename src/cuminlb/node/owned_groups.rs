//! [`OwnedGroups`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use super::OwnedGroup;

/// The groups that this node owns, and the owners of others that it has seen.
#[derive(Debug, Default)]
pub struct OwnedGroups {
    owned: Mutex<HashMap<GroupId, Arc<OwnedGroup>>>,
    seen_owners: Mutex<HashMap<GroupId, NodeId>>,
}

impl OwnedGroups {
    /// Starts to own a group, or goes on with it at another epoch.
    pub fn insert(&self, group: Arc<OwnedGroup>) {
        lock(&self.owned).insert(group.record.id.clone(), group);
    }

    /// Ends the owning of a group.
    pub fn remove(&self, group: &GroupId) {
        lock(&self.owned).remove(group);
    }

    /// Returns a group that this node owns.
    pub fn get(&self, group: &GroupId) -> Option<Arc<OwnedGroup>> {
        lock(&self.owned).get(group).cloned()
    }

    /// Returns all groups that this node owns.
    pub fn all(&self) -> Vec<Arc<OwnedGroup>> {
        lock(&self.owned).values().cloned().collect()
    }

    /// Notes the holder of a group's lease.
    pub fn note_owner(&self, group: &GroupId, owner: NodeId) {
        lock(&self.seen_owners).insert(group.clone(), owner);
    }

    /// Returns the holder of a group's lease as last seen.
    pub fn seen_owner(&self, group: &GroupId) -> Option<NodeId> {
        lock(&self.seen_owners).get(group).cloned()
    }

    /// Forgets an owner that turned out to be none.
    pub fn forget_owner(&self, group: &GroupId) {
        lock(&self.seen_owners).remove(group);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
