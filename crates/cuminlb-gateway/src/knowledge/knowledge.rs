//! The state of the platform as this node knows it, built from the rows of the store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{Catalog, DesiredRow, SharedRow, StoreTable, WireFormat};
use cuminlb_replica::{InstanceRecords, NodeRow, RowSink, RowSource};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::sync::watch;
use tokio::time::Instant;

use super::Directory;
use crate::metrics::{GatewayMetrics, StoreLabels};

/// All that a node knows about the platform.
pub(crate) struct Knowledge {
    wire: Arc<dyn WireFormat>,
    metrics: GatewayMetrics,
    state: Mutex<State>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    directory: watch::Sender<Arc<Directory>>,
}

#[derive(Debug, Default)]
struct State {
    instances: InstanceRecords,
    nodes: Arc<BTreeMap<NodeId, NodeRow>>,
    zones_out: BTreeSet<ZoneId>,
}

impl std::fmt::Debug for Knowledge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Knowledge").finish_non_exhaustive()
    }
}

impl Knowledge {
    /// Creates the knowledge of a node that has read nothing.
    pub(crate) fn new(wire: Arc<dyn WireFormat>, metrics: GatewayMetrics) -> Self {
        Self {
            wire,
            metrics,
            state: Mutex::default(),
            catalog: watch::Sender::new(None),
            directory: watch::Sender::new(Arc::default()),
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

    /// Applies rows of the nodes; rows of other kinds, such as leases, change nothing here.
    fn apply_nodes(state: &mut State, new_rows: &[SharedRow]) -> bool {
        let mut changed = false;
        for row in new_rows {
            let Some(node) = NodeRow::node(&row.key) else {
                continue;
            };
            let nodes = Arc::make_mut(&mut state.nodes);
            changed = true;
            match row.value.as_deref().map(serde_json::from_slice) {
                None => {
                    nodes.remove(&node);
                }
                Some(Ok(node_row)) => {
                    nodes.insert(node, node_row);
                }
                Some(Err(error)) => {
                    warn!(node:% = node; "failed to decode the row of a node: {error}");
                    nodes.remove(&node);
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
            nodes: Arc::clone(&state.nodes),
            ..Directory::default()
        };
        for entry in state.instances.entries() {
            let service = directory.services.entry(entry.service.clone()).or_default();
            service.insert(entry.id.clone(), Arc::clone(entry));
        }
        if let Some(catalog) = self.catalog() {
            for service in catalog.engine_services() {
                if let Some(engine) = &service.engine {
                    let groups = GroupView::collect(engine, directory.instances(&service.id));
                    directory.groups.insert(service.id.clone(), groups);
                }
            }
        }
        self.directory.send_replace(Arc::new(directory));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RowSink for Knowledge {
    fn rows_changed(&self, table: StoreTable, rows: &[SharedRow], source: RowSource, now: Instant) {
        let mut state = self.state();
        let changed = match table {
            StoreTable::Desired => self.apply_desired(&mut state, rows, source),
            StoreTable::Instances => self.apply_instances(&mut state, rows, now),
            StoreTable::Nodes => Self::apply_nodes(&mut state, rows),
        };
        if changed {
            self.publish(&state, now);
        }
    }

    fn store_called(&self, table: StoreTable, is_ok: bool, now: Instant) {
        let labels = StoreLabels {
            table: table.to_string(),
            outcome: if is_ok { "ok" } else { "failed" }.to_owned(),
        };
        self.metrics.store_calls.get_or_create(&labels).inc();
        if !is_ok {
            self.state().instances.record_store_failure(now);
        }
    }

    fn peer_lost_store(&self, now: Instant) {
        self.state().instances.record_store_failure(now);
    }

    fn peer_asked(&self) {
        self.metrics.peer_fetches.inc();
    }
}
