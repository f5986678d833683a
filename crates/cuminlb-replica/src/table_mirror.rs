//! A local replica of one table of the store.

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::{ChunkId, ChunkList, RelayedRow, RelayedTable, RelayedValue, ValueChunk};
use cuminlb_types::prelude::*;

use crate::{ChunkIndex, PendingValue};

/// Maximum number of tombstones that are kept, so that peers receive removals.
const MAX_TOMBSTONES: usize = 4_096;

/// Length from which on a value is relayed as a list of chunks.
const LARGE_VALUE_BYTES: usize = 16_384;

/// The rows of one table with their versions, as far as this node has received them.
///
/// The version of a row only ever increases, whichever source it comes from.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: BTreeMap<RowKey, SharedRow>,
    version: RowVersion,
    /// The version from which on no removed row is missing.
    complete_from: RowVersion,
    /// The large values that were announced and have not arrived.
    pending: BTreeMap<RowKey, Announcement>,
    /// The chunks of large values, computed when a peer first requests them.
    indexes: BTreeMap<RowKey, IndexedValue>,
}

/// A large value that a peer has announced.
#[derive(Clone, Debug)]
struct Announcement {
    version: RowVersion,
    list: ChunkList,
    announced_by: NodeId,
}

/// The chunks of the value that a row had at a version.
#[derive(Clone, Debug)]
struct IndexedValue {
    version: RowVersion,
    index: ChunkIndex,
}

impl TableMirror {
    /// Returns the version up to which every change has arrived or been announced.
    pub const fn version(&self) -> RowVersion {
        self.version
    }

    /// Returns the version up to which every change has arrived.
    ///
    /// It is zero while a value is announced of which no earlier version has arrived: the table may
    /// have held one at any version.
    pub fn complete_version(&self) -> RowVersion {
        let complete = self.pending.iter().map(|(key, announced)| {
            let is_known = self.rows.contains_key(key);
            let before = announced.version.get().saturating_sub(1);
            RowVersion(if is_known { before } else { 0 })
        });
        let first_incomplete = complete.min().unwrap_or(self.version);
        self.version.min(first_incomplete)
    }

    /// Returns the version of the newest row that peers can be given.
    pub fn newest_version(&self) -> RowVersion {
        let newest = self.rows.values().map(|row| row.version).max();
        newest.unwrap_or_default().min(self.complete_version())
    }

    /// Returns a row if it exists and is not removed.
    pub fn row(&self, key: &RowKey) -> Option<&SharedRow> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Returns an announced value that has not arrived.
    pub fn next_pending(&self, table: StoreTable) -> Option<PendingValue> {
        let (key, announced) = self.pending.first_key_value()?;
        Some(PendingValue {
            table,
            key: key.clone(),
            version: announced.version,
            list: announced.list.clone(),
            announced_by: announced.announced_by.clone(),
        })
    }

    /// Applies changes and returns the rows that are new to this node.
    pub fn apply(&mut self, changes: RowChangeSet) -> Vec<SharedRow> {
        self.apply_with_announced(changes, &BTreeSet::new())
    }

    /// Applies the changes that a peer relayed and returns the rows that are new to this node.
    /// Values that the peer only announced become pending.
    pub fn apply_relayed(&mut self, relayed: RelayedTable, from: &NodeId) -> Vec<SharedRow> {
        let mut changes = RowChangeSet {
            is_whole: relayed.is_whole,
            rows: Vec::new(),
            version: relayed.version,
        };
        let mut announced = BTreeSet::new();
        for row in relayed.rows {
            let value = match row.value {
                RelayedValue::Removed => None,
                RelayedValue::Whole(value) => Some(value),
                RelayedValue::Chunked(list) => {
                    announced.insert(row.key.clone());
                    let announcement = Announcement {
                        version: row.version,
                        list,
                        announced_by: from.clone(),
                    };
                    self.announce(row.key, announcement);
                    continue;
                }
            };
            changes.rows.push(SharedRow {
                key: row.key,
                version: row.version,
                value,
            });
        }
        self.apply_with_announced(changes, &announced)
    }

    /// Applies a single row, which does not change up to which version the table is known.
    pub fn apply_row(&mut self, row: SharedRow) -> Vec<SharedRow> {
        let changes = RowChangeSet {
            is_whole: false,
            rows: vec![row],
            version: RowVersion(0),
        };
        self.apply(changes)
    }

    /// Returns the rows that changed after a version, or all rows if a removed one may be missing.
    pub fn relayed_since(&mut self, after: RowVersion) -> (bool, Vec<RelayedRow>) {
        let is_whole = after < self.complete_from;
        let is_included = |row: &&SharedRow| {
            if is_whole {
                row.value.is_some()
            } else {
                row.version > after
            }
        };
        let rows = self.rows.values().filter(is_included);
        let rows = rows
            .map(|row| RelayedRow {
                key: row.key.clone(),
                version: row.version,
                value: relayed_value(&mut self.indexes, row),
            })
            .collect();
        (is_whole, rows)
    }

    /// Returns those of the requested chunks that the current value of a row has, up to a total
    /// length.
    pub fn chunks(
        &mut self,
        key: &RowKey,
        ids: &[ChunkId],
        max_bytes: ByteCount,
    ) -> Vec<ValueChunk> {
        let Some(row) = self.rows.get(key) else {
            return Vec::new();
        };
        let Some(value) = row.value.as_deref() else {
            return Vec::new();
        };
        let index = index_of(&mut self.indexes, row, value);
        let mut chunks = Vec::new();
        let mut length = 0;
        for &id in ids {
            let Some(range) = index.find(id) else {
                continue;
            };
            length += range.len() as u64;
            if !chunks.is_empty() && length > max_bytes.get() {
                break;
            }
            let bytes = value[range].to_vec();
            chunks.push(ValueChunk { id, bytes });
        }
        chunks
    }

    fn announce(&mut self, key: RowKey, announcement: Announcement) {
        let known = self.rows.get(&key).map(|row| row.version);
        let announced = self.pending.get(&key).map(|it| it.version);
        let is_newer = |known| known < announcement.version;
        if known.max(announced).is_none_or(is_newer) {
            self.pending.insert(key, announcement);
        }
    }

    fn apply_with_announced(
        &mut self,
        changes: RowChangeSet,
        announced: &BTreeSet<RowKey>,
    ) -> Vec<SharedRow> {
        let mut new_rows = Vec::new();
        if changes.is_whole && self.version == RowVersion(0) {
            self.complete_from = changes.version;
        }
        if changes.is_whole {
            self.remove_unlisted_announcements(&changes, announced);
            new_rows = self.removed_rows(&changes, announced);
        }
        new_rows.extend(changes.rows.into_iter().filter(|row| {
            let known = self.rows.get(&row.key);
            known.is_none_or(|known| known.version < row.version)
        }));
        for row in &new_rows {
            let announced = self.pending.get(&row.key);
            if announced.is_some_and(|announced| announced.version <= row.version) {
                self.pending.remove(&row.key);
            }
            self.rows.insert(row.key.clone(), row.clone());
        }
        self.version = self.version.max(changes.version);
        self.prune_tombstones();
        new_rows
    }

    /// Forgets the announced values that a complete table no longer lists.
    fn remove_unlisted_announcements(
        &mut self,
        changes: &RowChangeSet,
        announced: &BTreeSet<RowKey>,
    ) {
        let listed: BTreeSet<&RowKey> = changes.rows.iter().map(|row| &row.key).collect();
        self.pending.retain(|key, announcement| {
            let is_listed = listed.contains(key) || announced.contains(key);
            is_listed || announcement.version > changes.version
        });
    }

    /// Returns tombstones of the rows that a complete table no longer lists.
    fn removed_rows(&self, changes: &RowChangeSet, announced: &BTreeSet<RowKey>) -> Vec<SharedRow> {
        let listed: BTreeSet<&RowKey> = changes.rows.iter().map(|row| &row.key).collect();
        let existing = self.rows.values().filter(|row| row.value.is_some());
        let removed = existing
            .filter(|row| row.version < changes.version)
            .filter(|row| !listed.contains(&row.key) && !announced.contains(&row.key));
        let tombstones = removed.map(|row| SharedRow {
            key: row.key.clone(),
            version: changes.version,
            value: None,
        });
        tombstones.collect()
    }

    fn prune_tombstones(&mut self) {
        let tombstones = self.rows.values().filter(|row| row.value.is_none());
        let mut versions: Vec<RowVersion> = tombstones.map(|row| row.version).collect();
        if versions.len() <= MAX_TOMBSTONES {
            return;
        }
        versions.sort_unstable();
        let Some(&oldest_kept) = versions.get(versions.len() / 2) else {
            return;
        };
        self.complete_from = self.complete_from.max(oldest_kept);
        self.rows
            .retain(|_, row| row.value.is_some() || row.version >= oldest_kept);
    }
}

fn relayed_value(indexes: &mut BTreeMap<RowKey, IndexedValue>, row: &SharedRow) -> RelayedValue {
    match row.value.as_deref() {
        None => RelayedValue::Removed,
        Some(value) if value.len() < LARGE_VALUE_BYTES => RelayedValue::Whole(value.to_vec()),
        Some(value) => RelayedValue::Chunked(index_of(indexes, row, value).list().clone()),
    }
}

/// Returns the chunks of a row's value, which are computed once for each version.
fn index_of<'a>(
    indexes: &'a mut BTreeMap<RowKey, IndexedValue>,
    row: &SharedRow,
    value: &[u8],
) -> &'a ChunkIndex {
    let compute = || IndexedValue {
        version: row.version,
        index: ChunkIndex::new(value),
    };
    let indexed = indexes.entry(row.key.clone()).or_insert_with(compute);
    if indexed.version != row.version {
        *indexed = compute();
    }
    &indexed.index
}
