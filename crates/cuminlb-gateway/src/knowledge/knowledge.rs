//! The state of the platform as this node knows it, built from the rows of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{
    Catalog, DesiredRow, InstanceEntry, RowChangeSet, SharedRow, StoreTable, WireFormat,
};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;

use super::instance_records::InstanceRecords;
use super::table_mirror::TableMirror;
use super::{Directory, NodeRow, RowSource};

/// All that a node knows about the platform.
pub(crate) struct Knowledge {
    wire: Arc<dyn WireFormat>,
    state: Mutex<State>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    directory: watch::Sender<Arc<Directory>>,
    /// The version of the newest row of each table.
    newest_versions: BTreeMap<StoreTable, watch::Sender<RowVersion>>,
}

#[derive(Debug, Default)]
struct State {
    mirrors: BTreeMap<StoreTable, TableMirror>,
    last_read_at: BTreeMap<StoreTable, Instant>,
    /// The tables for which the latest call to the store has failed.
    failed_tables: BTreeSet<StoreTable>,
    instances: InstanceRecords,
    zones_out: BTreeSet<ZoneId>,
}

impl std::fmt::Debug for Knowledge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Knowledge").finish_non_exhaustive()
    }
}

impl Knowledge {
    pub(crate) fn new(wire: Arc<dyn WireFormat>) -> Self {
        Self {
            wire,
            state: Mutex::default(),
            catalog: watch::Sender::new(None),
            directory: watch::Sender::new(Arc::default()),
            newest_versions: StoreTable::ALL
                .map(|table| (table, watch::Sender::new(RowVersion(0))))
                .into(),
        }
    }

    /// Returns the active catalog; `None` until one has been read.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns the instances, groups and nodes.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.borrow())
    }

    /// Returns a receiver that is notified of each new directory.
    pub(crate) fn directory_changes(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.subscribe()
    }

    /// Returns the version of a table up to which no change is missing.
    pub(crate) fn version(&self, table: StoreTable) -> RowVersion {
        let state = self.state();
        state
            .mirrors
            .get(&table)
            .map(TableMirror::version)
            .unwrap_or_default()
    }

    /// Returns the rows of a table that changed after a version, for a peer.
    pub(crate) fn changes_since(&self, table: StoreTable, after: RowVersion) -> RowChangeSet {
        let state = self.state();
        let mirror = state.mirrors.get(&table);
        mirror
            .map(|mirror| mirror.changes_since(after))
            .unwrap_or_default()
    }

    /// Returns a receiver that is notified of the version of a table's newest row.
    pub(crate) fn table_updates(&self, table: StoreTable) -> watch::Receiver<RowVersion> {
        match self.newest_versions.get(&table) {
            Some(sender) => sender.subscribe(),
            None => watch::Sender::new(RowVersion(0)).subscribe(),
        }
    }

    /// Returns a row as this node knows it.
    pub(crate) fn row(&self, table: StoreTable, key: &RowKey) -> Option<SharedRow> {
        let state = self.state();
        state.mirrors.get(&table)?.row(key).cloned()
    }

    /// Returns the time since the store last responded for a table.
    pub(crate) fn store_read_age(&self, table: StoreTable, now: Instant) -> Option<Millis> {
        let last_read_at = self.state().last_read_at.get(&table).copied()?;
        Some(now.duration_since(last_read_at).into())
    }

    /// Records that a call to the store for a table has failed.
    pub(crate) fn record_store_failure(&self, table: StoreTable, now: Instant) {
        let mut state = self.state();
        state.failed_tables.insert(table);
        state.instances.record_store_failure(now);
    }

    /// Returns whether the latest call to the store has failed for every table.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.state().failed_tables.len() == StoreTable::ALL.len()
    }

    /// Applies changes of a table; returns the rows that are new to this node.
    pub(crate) fn apply_changes(
        &self,
        table: StoreTable,
        changes: RowChangeSet,
        source: RowSource,
        now: Instant,
    ) -> Vec<SharedRow> {
        let mut state = self.state();
        if source == RowSource::Store {
            state.last_read_at.insert(table, now);
            state.failed_tables.remove(&table);
        }
        let new_rows = state.mirrors.entry(table).or_default().apply(changes);
        let newest = new_rows.iter().map(|row| row.version).max();
        if let (Some(newest), Some(sender)) = (newest, self.newest_versions.get(&table)) {
            sender.send_if_modified(|known| {
                let is_newer = newest > *known;
                *known = newest.max(*known);
                is_newer
            });
        }
        let changed = match table {
            StoreTable::Desired => self.apply_desired(&mut state, &new_rows, source),
            StoreTable::Instances => self.apply_instances(&mut state, &new_rows, now),
            StoreTable::Nodes => !new_rows.is_empty(),
        };
        if changed {
            self.publish(&state, now);
        }
        new_rows
    }

    /// Removes expired entries of instances that vanished and have not come back.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let mut state = self.state();
        if state.instances.remove_expired(now) {
            self.publish(&state, now);
        }
    }

    fn apply_desired(&self, state: &mut State, new_rows: &[SharedRow], source: RowSource) -> bool {
        let mut changed = false;
        for row in new_rows {
            if row.value.is_none() {
                if let Ok(DesiredRow::ZoneOut(zone)) = self.wire.read_desired(row) {
                    info!(
                        zone:% = zone, row_version:% = row.version, source:% = source;
                        "zone taken back"
                    );
                    changed |= state.zones_out.remove(&zone);
                }
                continue;
            }
            match self.wire.read_desired(row) {
                Ok(DesiredRow::Catalog(catalog)) => changed |= self.activate(*catalog, row, source),
                Ok(DesiredRow::ZoneOut(zone)) => {
                    info!(
                        zone:% = zone, row_version:% = row.version, source:% = source;
                        "zone out"
                    );
                    changed |= state.zones_out.insert(zone);
                }
                Ok(DesiredRow::Unknown) => {}
                Err(error) => warn!(row_version:% = row.version; "{error}"),
            }
        }
        changed
    }

    /// Activates a catalog if it is newer than the active one.
    fn activate(&self, catalog: Catalog, row: &SharedRow, source: RowSource) -> bool {
        let active_version = self.catalog().map(|catalog| catalog.version);
        if active_version.is_some_and(|version| version >= catalog.version) {
            return false;
        }
        info!(
            catalog:% = catalog.version, row_version:% = row.version, source:% = source;
            "catalog in force"
        );
        self.catalog.send_replace(Some(Arc::new(catalog)));
        true
    }

    fn apply_instances(&self, state: &mut State, new_rows: &[SharedRow], now: Instant) -> bool {
        let mut changed = false;
        for row in new_rows {
            let Ok(id) = row.key.as_str().parse::<InstanceId>() else {
                continue;
            };
            if row.value.is_none() {
                info!(instance:% = id, row_version:% = row.version; "instance gone");
                state.instances.remove(&id, now);
                changed = true;
                continue;
            }
            match self.wire.read_instance(row) {
                Ok(entry) => {
                    let is_leaving = entry.is_leaving;
                    let is_changed = state.instances.put(entry, now);
                    if is_changed {
                        log::debug!(
                            instance:% = id, row_version:% = row.version;
                            "instance changed"
                        );
                    }
                    if is_changed && is_leaving {
                        info!(instance:% = id, row_version:% = row.version; "instance leaving");
                    }
                    changed |= is_changed;
                }
                Err(error) => {
                    warn!(row_version:% = row.version; "{error}");
                    state.instances.remove(&id, now);
                    changed = true;
                }
            }
        }
        changed
    }

    fn publish(&self, state: &State, now: Instant) {
        let mut directory = Directory {
            zones_out: state.zones_out.clone(),
            unlisted: state.instances.unlisted(),
            cold_until: state.instances.cold_until(now),
            ..Directory::default()
        };
        for entry in state.instances.entries() {
            let service = directory.services.entry(entry.service.clone()).or_default();
            service.insert(entry.id.clone(), InstanceEntry::clone(entry));
        }
        if let Some(catalog) = self.catalog() {
            for service in catalog.engine_services() {
                if let Some(engine) = &service.engine {
                    let groups = GroupView::collect(engine, directory.instances(&service.id));
                    directory.groups.insert(service.id.clone(), groups);
                }
            }
        }
        let nodes = state.mirrors.get(&StoreTable::Nodes);
        for row in nodes.into_iter().flat_map(TableMirror::rows) {
            let Some(node) = NodeRow::node(&row.key) else {
                continue;
            };
            match serde_json::from_slice(row.value.as_deref().unwrap_or_default()) {
                Ok(node_row) => {
                    directory.nodes.insert(node, node_row);
                }
                Err(error) => warn!(node:% = node; "failed to decode the row of a node: {error}"),
            }
        }
        self.directory.send_replace(Arc::new(directory));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
