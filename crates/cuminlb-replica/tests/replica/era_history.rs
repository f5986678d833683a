//! [`EraHistory`]: a store of one table, with all changes of all of its eras.

use std::collections::BTreeMap;

use cuminlb_catalog::{RowChangeSet, SharedRow};
use cuminlb_types::prelude::*;

/// Length of a value that is relayed as a list of chunks.
pub const LARGE_VALUE_BYTES: usize = 20_000;

/// A store of one table that can be restored, with its whole history.
#[derive(Clone, Debug, Default)]
pub struct EraHistory {
    version: StoreVersion,
    rows: BTreeMap<RowKey, SharedRow>,
    /// The rows and the version of the copy from which the store is restored.
    copy: (BTreeMap<RowKey, SharedRow>, RowVersion),
    /// The rows that each era began with, and all that were written in it.
    changes: Vec<SharedRow>,
}

impl EraHistory {
    pub const fn version(&self) -> StoreVersion {
        self.version
    }

    pub fn write(&mut self, key: &RowKey, value: Option<Vec<u8>>) {
        self.version.row = self.version.row.next();
        let row = SharedRow {
            key: key.clone(),
            version: self.version,
            value,
        };
        self.changes.push(row.clone());
        self.rows.insert(key.clone(), row);
    }

    /// Takes the copy from which the store is restored.
    pub fn take_copy(&mut self) {
        self.copy = (self.rows.clone(), self.version.row);
    }

    /// Restores the store from the copy, which begins an era.
    pub fn restore(&mut self) {
        let (rows, version) = self.copy.clone();
        self.version = StoreVersion::new(self.version.era.next(), version);
        self.rows = rows;
        for row in self.rows.values_mut() {
            row.version.era = self.version.era;
            self.changes.push(row.clone());
        }
    }

    pub fn row(&self, key: &RowKey) -> Option<&SharedRow> {
        self.rows.get(key).filter(|row| row.value.is_some())
    }

    /// Reads the whole table.
    pub fn whole(&self) -> RowChangeSet {
        let rows = self.rows.values().filter(|row| row.value.is_some());
        RowChangeSet {
            is_whole: true,
            rows: rows.cloned().collect(),
            version: self.version,
        }
    }

    /// Reads the changes after a version of the present era.
    pub fn changes_after(&self, after: StoreVersion) -> Option<RowChangeSet> {
        if after.era != self.version.era {
            return None;
        }
        let rows = self.rows.values().filter(|row| row.version > after);
        Some(RowChangeSet {
            is_whole: false,
            rows: rows.cloned().collect(),
            version: self.version,
        })
    }

    /// Returns whether a row that a node has could be the one that follows from all changes of an
    /// era up to `complete`, and perhaps from some later ones of the era. A row whose next value is
    /// large may be at any earlier version, because the value may be announced and not have arrived.
    pub fn allows(&self, key: &RowKey, complete: StoreVersion, known: Option<&SharedRow>) -> bool {
        let of_era = self.changes.iter();
        let of_era = of_era.filter(|row| row.version.era == complete.era && row.key == *key);
        let (later, earlier): (Vec<&SharedRow>, Vec<&SharedRow>) =
            of_era.partition(|row| row.version > complete);
        if later.iter().any(|row| is_large(row)) {
            return known.is_none_or(|known| earlier.contains(&known) || later.contains(&known));
        }
        let latest = earlier.into_iter().max_by_key(|row| row.version);
        match known {
            Some(known) => latest == Some(known) || later.contains(&known),
            None => {
                latest.is_none_or(|row| row.value.is_none())
                    || later.iter().any(|row| row.value.is_none())
            }
        }
    }
}

fn is_large(row: &SharedRow) -> bool {
    let length = row.value.as_ref().map_or(0, Vec::len);
    length >= LARGE_VALUE_BYTES
}
