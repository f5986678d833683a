//! [`Knowledge`].

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

/// All that a node knows of the platform.
pub(crate) struct Knowledge {
    wire: Arc<dyn WireFormat>,
    state: Mutex<State>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    directory: watch::Sender<Arc<Directory>>,
    /// The version of each table's newest row.
    news: BTreeMap<StoreTable, watch::Sender<RowVersion>>,
}

#[derive(Debug, Default)]
struct State {
    mirrors: BTreeMap<StoreTable, TableMirror>,
    heard_at: BTreeMap<StoreTable, Instant>,
    /// The tables on which the newest call to the store has failed.
    lost: BTreeSet<StoreTable>,
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
            news: StoreTable::ALL
                .map(|table| (table, watch::Sender::new(RowVersion(0))))
                .into(),
        }
    }

    /// Returns the desired state in force; `None` until one has been read.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Returns the instances, groups and nodes.
    pub(crate) fn directory(&self) -> Arc<Directory> {
        Arc::clone(&self.directory.borrow())
    }

    /// Returns a receiver that is told of each new directory.
    pub(crate) fn directory_changes(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.subscribe()
    }

    /// Returns the version of a table up to which nothing is missing.
    pub(crate) fn version(&self, table: StoreTable) -> RowVersion {
        let state = self.state();
        state
            .mirrors
            .get(&table)
            .map(TableMirror::version)
            .unwrap_or_default()
    }

    /// Returns the rows of a table that changed after a version, for a peer.
    pub(crate) fn since(&self, table: StoreTable, after: RowVersion) -> RowChangeSet {
        let state = self.state();
        let mirror = state.mirrors.get(&table);
        mirror.map(|mirror| mirror.since(after)).unwrap_or_default()
    }

    /// Returns a receiver that is told the version of a table's newest row.
    pub(crate) fn table_news(&self, table: StoreTable) -> watch::Receiver<RowVersion> {
        match self.news.get(&table) {
            Some(news) => news.subscribe(),
            None => watch::Sender::new(RowVersion(0)).subscribe(),
        }
    }

    /// Returns a row as this node knows it.
    pub(crate) fn row(&self, table: StoreTable, key: &RowKey) -> Option<SharedRow> {
        let state = self.state();
        state.mirrors.get(&table)?.row(key).cloned()
    }

    /// Returns how long ago the store was heard on a table.
    pub(crate) fn store_silence(&self, table: StoreTable, now: Instant) -> Option<Millis> {
        let heard_at = self.state().heard_at.get(&table).copied()?;
        Some(now.duration_since(heard_at).into())
    }

    /// Notes that a call about a table to the store has failed.
    pub(crate) fn note_store_trouble(&self, table: StoreTable, now: Instant) {
        let mut state = self.state();
        state.lost.insert(table);
        state.instances.note_trouble(now);
    }

    /// Tells whether the store serves this node on none of the tables.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.state().lost.len() == StoreTable::ALL.len()
    }

    /// Takes changes of a table in; returns the rows that are new to this node.
    pub(crate) fn learn(
        &self,
        table: StoreTable,
        changes: RowChangeSet,
        source: RowSource,
        now: Instant,
    ) -> Vec<SharedRow> {
        let mut state = self.state();
        if source == RowSource::Store {
            state.heard_at.insert(table, now);
            state.lost.remove(&table);
        }
        let fresh = state.mirrors.entry(table).or_default().apply(changes);
        let newest = fresh.iter().map(|row| row.version).max();
        if let (Some(newest), Some(news)) = (newest, self.news.get(&table)) {
            news.send_if_modified(|known| {
                let is_newer = newest > *known;
                *known = newest.max(*known);
                is_newer
            });
        }
        let changed = match table {
            StoreTable::Desired => self.learn_desired(&mut state, &fresh, source),
            StoreTable::Instances => self.learn_instances(&mut state, &fresh, now),
            StoreTable::Nodes => !fresh.is_empty(),
        };
        if changed {
            self.publish(&state, now);
        }
        fresh
    }

    /// Drops entries that vanished during trouble of the store and have not come back.
    pub(crate) fn drop_lapsed(&self, now: Instant) {
        let mut state = self.state();
        if state.instances.drop_lapsed(now) {
            self.publish(&state, now);
        }
    }

    fn learn_desired(&self, state: &mut State, fresh: &[SharedRow], source: RowSource) -> bool {
        let mut changed = false;
        for row in fresh {
            if row.value.is_none() {
                if let Ok(DesiredRow::ZoneOut(zone)) = self.wire.read_desired(row) {
                    info!(zone:% = zone, row_version:% = row.version, source:% = source; "zone taken back");
                    changed |= state.zones_out.remove(&zone);
                }
                continue;
            }
            match self.wire.read_desired(row) {
                Ok(DesiredRow::Catalog(catalog)) => changed |= self.adopt(*catalog, row, source),
                Ok(DesiredRow::ZoneOut(zone)) => {
                    info!(zone:% = zone, row_version:% = row.version, source:% = source; "zone out");
                    changed |= state.zones_out.insert(zone);
                }
                Ok(DesiredRow::Unknown) => {}
                Err(error) => warn!(row_version:% = row.version; "{error}"),
            }
        }
        changed
    }

    /// Takes a catalog into force if it is newer than the one in force.
    fn adopt(&self, catalog: Catalog, row: &SharedRow, source: RowSource) -> bool {
        let in_force = self.catalog().map(|catalog| catalog.version);
        if in_force.is_some_and(|version| version >= catalog.version) {
            return false;
        }
        info!(
            catalog:% = catalog.version, row_version:% = row.version, source:% = source;
            "catalog in force"
        );
        self.catalog.send_replace(Some(Arc::new(catalog)));
        true
    }

    fn learn_instances(&self, state: &mut State, fresh: &[SharedRow], now: Instant) -> bool {
        let mut changed = false;
        for row in fresh {
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
                        log::debug!(instance:% = id, row_version:% = row.version; "instance changed");
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
                Err(error) => warn!(node:% = node; "the row of a node can't be read: {error}"),
            }
        }
        self.directory.send_replace(Arc::new(directory));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
