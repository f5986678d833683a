//! The rows of a local replica of a table, with tombstones of removed ones.

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::SharedRow;
use cuminlb_types::prelude::*;

/// Maximum number of tombstones that are kept, so that peers receive removals.
const MAX_TOMBSTONES: usize = 4_096;

/// The rows of one table at their latest versions, including removed ones.
#[derive(Clone, Debug, Default)]
pub(crate) struct MirrorRows {
    rows: BTreeMap<RowKey, SharedRow>,
}

impl MirrorRows {
    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns a row, which may be a tombstone.
    pub(crate) fn get(&self, key: &RowKey) -> Option<&SharedRow> {
        self.rows.get(key)
    }

    /// Returns all rows and tombstones.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &SharedRow> {
        self.rows.values()
    }

    pub(crate) fn insert(&mut self, row: SharedRow) {
        self.rows.insert(row.key.clone(), row);
    }

    /// Returns the version up to which the changes of a row are known in a table that is known up to
    /// `complete`. A row that does not exist is removed as far as the table is known.
    pub(crate) fn known_version(&self, key: &RowKey, complete: StoreVersion) -> StoreVersion {
        match self.rows.get(key) {
            Some(row) if row.value.is_some() => row.version,
            Some(tombstone) => tombstone.version.max(complete),
            None => complete,
        }
    }

    /// Returns tombstones of the rows that existed before a version at which only some are listed.
    pub(crate) fn unlisted(
        &self,
        listed: &BTreeSet<&RowKey>,
        version: StoreVersion,
    ) -> Vec<SharedRow> {
        let existing = self.rows.values().filter(|row| row.value.is_some());
        let removed = existing
            .filter(|row| row.version < version)
            .filter(|row| !listed.contains(&row.key));
        let tombstones = removed.map(|row| SharedRow {
            key: row.key.clone(),
            version,
            value: None,
        });
        tombstones.collect()
    }

    pub(crate) fn forget_tombstones(&mut self) {
        self.rows.retain(|_, row| row.value.is_some());
    }

    /// Forgets the older tombstones if there are too many, and returns the version from which on they
    /// are kept.
    pub(crate) fn prune_tombstones(&mut self) -> Option<StoreVersion> {
        let tombstones = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<StoreVersion> = tombstones.map(|row| row.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return None;
        }
        versions.sort_unstable();
        let oldest_kept = *versions.get(versions.len() / 2)?;
        self.rows
            .retain(|_, row| row.value.is_some() || row.version >= oldest_kept);
        Some(oldest_kept)
    }
}
