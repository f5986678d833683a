//! The holder of a lease from the point of view of a node that sends it news.

use cuminlb_types::prelude::*;

use crate::rows::LeaseRow;

/// The holder of a lease as far as a node knows.
#[derive(Clone, Debug, Default)]
pub struct KnownHolder {
    holder: Option<NodeId>,
}

impl KnownHolder {
    /// Handles the row of the lease, or its absence. A row of an earlier era than its version comes
    /// from the copy that the store was restored from, and may name an earlier holder.
    pub fn observe(&mut self, row: Option<&LeaseRow>, version: StoreVersion) {
        match row {
            Some(row) if row.era == version.era || self.holder.is_none() => {
                let is_held = row.length_ms > Millis(0);
                self.holder = is_held.then(|| row.holder.clone());
            }
            _ => {}
        }
    }

    /// Returns the holder; `None` if the lease is released or was never seen.
    pub const fn get(&self) -> Option<&NodeId> {
        self.holder.as_ref()
    }
}
