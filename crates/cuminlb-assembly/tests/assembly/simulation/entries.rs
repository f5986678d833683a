//! What leaders see of the engines.

use std::sync::Arc;

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;

use super::ClusterSimulation;

impl ClusterSimulation {
    /// Updates the entries that leaders see, except those of the `hidden` engines.
    pub fn refresh_entries(&mut self, hidden: &[InstanceId]) {
        for (id, engine) in &self.engines {
            if engine.is_alive && !hidden.contains(id) {
                self.seen.insert(id.clone(), Arc::new(engine.entry()));
                self.unlisted.remove(id);
            }
        }
    }

    /// Lets the entry of an engine vanish; leaders keep what it said last.
    pub fn unlist(&mut self, id: &InstanceId) {
        self.unlisted.insert(id.clone());
    }

    /// Returns what leaders see of an engine.
    pub fn seen_entry(&self, id: &InstanceId) -> &InstanceEntry {
        &self.seen[id]
    }

    /// Replaces what leaders see of an engine, as a store restored from a copy does.
    pub fn restore_entry(&mut self, entry: InstanceEntry) {
        self.seen.insert(entry.id.clone(), Arc::new(entry));
    }
}
