//! A local replica of one table of the store.

use std::collections::BTreeMap;

use cuminlb_catalog::{RowChangeSet, SharedRow};
use cuminlb_types::prelude::*;

/// Maximum number of tombstones that are kept, so that peers receive removals.
const MAX_TOMBSTONES: usize = 4_096;

/// The rows of one table with their versions, as far as this node has received them.
///
/// The version of a row only ever increases, whichever source it comes from.
#[derive(Debug, Default)]
pub(crate) struct TableMirror {
    rows: BTreeMap<RowKey, SharedRow>,
    version: RowVersion,
    tombstone_count: usize,
    /// The version from which on no removed row is missing.
    complete_from: RowVersion,
}

impl TableMirror {
    /// Returns the version up to which no change is missing.
    pub(crate) const fn version(&self) -> RowVersion {
        self.version
    }

    /// Returns the rows that exist, without tombstones.
    pub(crate) fn rows(&self) -> impl Iterator<Item = &SharedRow> {
        self.rows.values().filter(|row| row.value.is_some())
    }

    /// Returns a row if it exists and is not removed.
    pub(crate) fn row(&self, key: &RowKey) -> Option<&SharedRow> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Applies changes and returns the rows that are new to this node.
    pub(crate) fn apply(&mut self, changes: RowChangeSet) -> Vec<SharedRow> {
        let mut new_rows = Vec::new();
        if changes.is_whole && self.version == RowVersion(0) {
            self.complete_from = changes.version;
        }
        if changes.is_whole {
            let is_listed = |key: &RowKey| changes.rows.iter().any(|row| row.key == *key);
            let removed = self.rows().filter(|row| row.version < changes.version);
            let removed = removed
                .filter(|row| !is_listed(&row.key))
                .map(|row| SharedRow {
                    key: row.key.clone(),
                    version: changes.version,
                    value: None,
                });
            new_rows.extend(removed.collect::<Vec<_>>());
        }
        new_rows.extend(changes.rows.into_iter().filter(|row| {
            let known = self.rows.get(&row.key);
            known.is_none_or(|known| known.version < row.version)
        }));
        for row in &new_rows {
            self.rows.insert(row.key.clone(), row.clone());
        }
        if changes.version > self.version {
            self.version = changes.version;
        }
        self.prune_tombstones();
        new_rows
    }

    /// Returns the rows that changed after a version, or all rows if a removed one may be missing.
    pub(crate) fn changes_since(&self, after: RowVersion) -> RowChangeSet {
        if after < self.complete_from {
            return RowChangeSet {
                is_whole: true,
                rows: self.rows().cloned().collect(),
                version: self.version,
            };
        }
        let rows = self.rows.values().filter(|row| row.version > after);
        RowChangeSet {
            is_whole: false,
            rows: rows.cloned().collect(),
            version: self.version,
        }
    }

    fn prune_tombstones(&mut self) {
        self.tombstone_count = self.rows.len() - self.rows().count();
        if self.tombstone_count <= MAX_TOMBSTONES {
            return;
        }
        let mut versions: Vec<RowVersion> = self
            .rows
            .values()
            .filter(|row| row.value.is_none())
            .map(|row| row.version)
            .collect();
        versions.sort_unstable();
        let Some(&oldest_kept) = versions.get(versions.len() / 2) else {
            return;
        };
        self.complete_from = self.complete_from.max(oldest_kept);
        self.rows
            .retain(|_, row| row.value.is_some() || row.version >= oldest_kept);
    }
}
