//! The tables of a replica and how recent they are.

use std::collections::{BTreeMap, BTreeSet};

use cuminlb_catalog::{SharedRow, StoreTable};
use cuminlb_peer::TableCursors;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::TableMirror;
use crate::applied_rows::AppliedRows;

/// The tables of a replica and how recent they are.
#[derive(Debug, Default)]
pub(crate) struct ReplicaState {
    mirrors: BTreeMap<StoreTable, TableMirror>,
    /// When the store is known to have held no newer rows of a table, in its latest era.
    heard_at: BTreeMap<StoreTable, (StoreEra, Instant)>,
    /// The value of `heard_at` when this replica last had all announced values of the table.
    complete_at: BTreeMap<StoreTable, (StoreEra, Instant)>,
    /// The tables for which the latest call to the store has failed.
    pub(crate) failed_tables: BTreeSet<StoreTable>,
}

impl ReplicaState {
    pub(crate) fn mirror(&mut self, table: StoreTable) -> &mut TableMirror {
        self.mirrors.entry(table).or_default()
    }

    /// Applies an update to a table.
    pub(crate) fn apply(
        &mut self,
        table: StoreTable,
        update: impl FnOnce(&mut TableMirror) -> Vec<SharedRow>,
    ) -> AppliedRows {
        let mirror = self.mirror(table);
        let previous_era = mirror.version().era;
        let was_read = mirror.is_read();
        let rows = update(mirror);
        let is_restored = was_read && mirror.version().era > previous_era;
        self.record_complete(table);
        AppliedRows { rows, is_restored }
    }

    /// Records that the store held no rows of a table at `at` that this replica lacks, if the replica
    /// has the table in that era. What was heard in an earlier era no longer counts.
    pub(crate) fn record_heard(&mut self, table: StoreTable, era: StoreEra, at: Instant) {
        if self.mirror(table).version().era != era {
            return;
        }
        let heard = self.heard_at.entry(table).or_insert((era, at));
        *heard = (era, at).max(*heard);
        self.record_complete(table);
    }

    /// Records how recent a table is, if this replica has all of its announced values.
    fn record_complete(&mut self, table: StoreTable) {
        let mirror = self.mirror(table);
        if mirror.complete_version() != mirror.version() {
            return;
        }
        if let Some(heard) = self.heard_at.get(&table) {
            self.complete_at.insert(table, *heard);
        }
    }

    /// Returns the age of the rows of a table that this replica can provide with their values. It grows
    /// while an announced value has not arrived, so that followers leave a relay that can't provide the
    /// value.
    pub(crate) fn complete_age(&self, table: StoreTable, now: Instant) -> Option<Millis> {
        let (era, complete_at) = self.complete_at.get(&table)?;
        let (heard_era, _) = self.heard_at.get(&table)?;
        (era == heard_era).then(|| now.duration_since(*complete_at).into())
    }

    /// Returns the time since the store is known to have held no newer rows of a table.
    pub(crate) fn heard_age(&self, table: StoreTable, now: Instant) -> Option<Millis> {
        let (_, heard_at) = self.heard_at.get(&table)?;
        Some(now.duration_since(*heard_at).into())
    }

    /// Returns the versions up to which every change has arrived or been announced.
    pub(crate) fn cursors(&self) -> TableCursors {
        self.versions(TableMirror::version)
    }

    /// Returns the versions of the newest rows that peers can be given.
    pub(crate) fn newest(&self) -> TableCursors {
        self.versions(TableMirror::newest_version)
    }

    fn versions(&self, version: impl Fn(&TableMirror) -> StoreVersion) -> TableCursors {
        let mut cursors = TableCursors::default();
        for (table, mirror) in &self.mirrors {
            cursors.set(*table, version(mirror));
        }
        cursors
    }
}
