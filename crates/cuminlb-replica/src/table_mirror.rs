//! A local replica of one table of the store.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use cuminlb_catalog::{RowChangeSet, SharedRow, StoreTable};
use cuminlb_peer::{ChunkId, ChunkList, RelayedRow, RelayedTable, RelayedValue, ValueChunk};
use cuminlb_types::prelude::*;

use crate::PendingValue;
use crate::announcement::Announcement;
use crate::mirror_rows::MirrorRows;
use crate::table_update::TableUpdate;
use crate::value_indexes::ValueIndexes;

/// The rows of one table with their versions, as far as this node has received them.
///
/// The version of a row only ever increases, whichever source it comes from. A later era of the
/// store begins with the whole table as the store was restored: rows that it lacks are removed.
/// Updates of earlier eras are ignored from then on.
#[derive(Debug, Default)]
pub struct TableMirror {
    rows: MirrorRows,
    version: StoreVersion,
    /// The version from which on no removed row is missing.
    complete_from: StoreVersion,
    /// The large values that were announced and have not arrived. Until then, the row stays as it was,
    /// even if that is of an earlier era.
    pending: BTreeMap<RowKey, Announcement>,
    indexes: ValueIndexes,
}

impl TableMirror {
    /// Returns the version up to which every change has arrived or been announced.
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    /// Returns whether any state of the table has arrived.
    pub fn is_read(&self) -> bool {
        self.version.row > RowVersion(0) || !self.rows.is_empty()
    }

    /// Returns the version up to which every change has arrived.
    ///
    /// Its row version is zero while a value is announced of which no earlier version of the same
    /// era has arrived: the table may have held one at any version.
    pub fn complete_version(&self) -> StoreVersion {
        let complete = self.pending.iter().map(|(key, announced)| {
            let known = self.rows.get(key);
            let is_known = known.is_some_and(|row| self.is_current(row));
            let before = announced.version.row.get().saturating_sub(1);
            RowVersion(if is_known { before } else { 0 })
        });
        let row = complete.fold(self.version.row, RowVersion::min);
        StoreVersion::new(self.version.era, row)
    }

    /// Returns the version of the newest row that peers can be given.
    pub fn newest_version(&self) -> StoreVersion {
        let rows = self.rows.iter().filter(|row| self.is_current(row));
        let newest = rows.map(|row| row.version).max();
        let era_start = StoreVersion::new(self.version.era, RowVersion(0));
        newest.unwrap_or(era_start).min(self.complete_version())
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
        if !self.accepts(changes.version.era, changes.is_whole) {
            return Vec::new();
        }
        self.merge(TableUpdate {
            changes,
            ..TableUpdate::default()
        })
    }

    /// Applies the changes that a peer relayed and returns the rows that are new to this node.
    /// Values that the peer only announced become pending, unless the row had the same value before
    /// the store was restored.
    pub fn apply_relayed(&mut self, relayed: RelayedTable, from: &NodeId) -> Vec<SharedRow> {
        // A peer that has the table up to no version may lack any of its rows.
        let is_complete = relayed.version.row > RowVersion(0) || self.rows.is_empty();
        let is_whole = relayed.is_whole && is_complete;
        if !self.accepts(relayed.version.era, is_whole) {
            return Vec::new();
        }
        let mut update = TableUpdate::default();
        update.changes.is_whole = is_whole;
        update.changes.version = relayed.version;
        for row in relayed.rows {
            let value = match row.value {
                RelayedValue::Removed => None,
                RelayedValue::Whole(value) => Some(value),
                RelayedValue::Chunked(list) => {
                    let Some(value) = self.restored_value(&row.key, row.version, &list) else {
                        let announcement = Announcement {
                            version: row.version,
                            list,
                            announced_by: from.clone(),
                        };
                        update.announcements.insert(row.key, announcement);
                        continue;
                    };
                    Some(value)
                }
            };
            update.changes.rows.push(SharedRow {
                key: row.key,
                version: row.version,
                value,
            });
        }
        self.merge(update)
    }

    /// Applies a single row, which does not change up to which version the table is known.
    pub fn apply_row(&mut self, row: SharedRow) -> Vec<SharedRow> {
        let changes = RowChangeSet {
            is_whole: false,
            version: StoreVersion::new(row.version.era, RowVersion(0)),
            rows: vec![row],
        };
        self.apply(changes)
    }

    /// Returns the rows that changed after a version, or all rows if a removed one may be missing.
    pub fn relayed_since(&mut self, after: StoreVersion) -> (bool, Vec<RelayedRow>) {
        let is_whole = after < self.complete_from;
        let era = self.version.era;
        let is_included = |row: &&SharedRow| {
            let is_wanted = if is_whole {
                row.value.is_some()
            } else {
                row.version > after
            };
            is_wanted && row.version.era == era
        };
        let rows = self.rows.iter().filter(is_included);
        let rows = rows
            .map(|row| RelayedRow {
                key: row.key.clone(),
                version: row.version,
                value: self.indexes.relayed_value(row),
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
        self.indexes.chunks(row, ids, max_bytes)
    }

    /// Returns whether an update of an era applies: a later era begins with the whole table.
    fn accepts(&self, era: StoreEra, is_whole: bool) -> bool {
        match era.cmp(&self.version.era) {
            Ordering::Less => false,
            Ordering::Equal => true,
            Ordering::Greater => is_whole,
        }
    }

    fn is_current(&self, row: &SharedRow) -> bool {
        row.version.era == self.version.era
    }

    /// Returns the value that a row had in an earlier era than `version`, if it is the described one.
    fn restored_value(
        &mut self,
        key: &RowKey,
        version: StoreVersion,
        list: &ChunkList,
    ) -> Option<Vec<u8>> {
        let row = self.rows.get(key)?;
        let value = row.value.as_deref()?;
        let has_length = ByteCount(value.len() as u64) == list.length_bytes();
        let may_be_same = row.version.era < version.era && has_length;
        let is_same = may_be_same && self.indexes.index(row, value).list() == list;
        is_same.then(|| value.to_vec())
    }

    /// Merges an accepted update and returns the rows that are new to this node.
    fn merge(&mut self, mut update: TableUpdate) -> Vec<SharedRow> {
        update.retain_era();
        let version = update.changes.version;
        if version.era > self.version.era {
            self.begin_era(version.era);
        }
        if update.changes.is_whole && version >= self.version {
            // Rows that were written and removed since the version of this node have no tombstone.
            self.complete_from = version;
        }
        let complete = self.complete_version();
        let mut new_rows = Vec::new();
        if update.changes.is_whole {
            new_rows = self.remove_unlisted(&update);
        }
        for (key, announcement) in update.announcements {
            self.announce(key, announcement, complete);
        }
        let changed = update.changes.rows.into_iter();
        new_rows.extend(
            changed.filter(|row| row.version > self.rows.known_version(&row.key, complete)),
        );
        for row in &new_rows {
            let announced = self.pending.get(&row.key);
            if announced.is_some_and(|announced| announced.version <= row.version) {
                self.pending.remove(&row.key);
            }
            self.rows.insert(row.clone());
        }
        self.version = self.version.max(version);
        if let Some(oldest_kept) = self.rows.prune_tombstones() {
            self.complete_from = self.complete_from.max(oldest_kept);
        }
        new_rows
    }

    /// Begins an era, of which nothing has arrived yet. The rows of the previous one stay until the
    /// table of the new one is merged.
    fn begin_era(&mut self, era: StoreEra) {
        self.version = StoreVersion::new(era, RowVersion(0));
        self.pending.clear();
        self.rows.forget_tombstones();
    }

    fn announce(&mut self, key: RowKey, announcement: Announcement, complete: StoreVersion) {
        let announced = self.pending.get(&key).map(|it| it.version);
        let known = self.rows.known_version(&key, complete);
        let known = known.max(announced.unwrap_or_default());
        if known < announcement.version {
            self.pending.insert(key, announcement);
        }
    }

    /// Forgets the announced values that a complete table no longer lists, and returns tombstones of
    /// such rows.
    fn remove_unlisted(&mut self, update: &TableUpdate) -> Vec<SharedRow> {
        let version = update.changes.version;
        let listed = update.keys();
        self.pending
            .retain(|key, announcement| listed.contains(key) || announcement.version > version);
        self.rows.unlisted(&listed, version)
    }
}
