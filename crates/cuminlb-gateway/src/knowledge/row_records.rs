//! What a node has made of the rows of the store.

use std::sync::Arc;

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{Catalog, DesiredRow, SharedRow, StoreTable, WireFormat};
use cuminlb_fleet::lease::KnownHolder;
use cuminlb_replica::{
    CatalogOrigin, InstanceRecords, NodeRecords, NodeRow, RowSource, ZoneRecords,
};
use cuminlb_types::prelude::*;
use log::{debug, info, warn};
use tokio::time::Instant;

use super::Directory;
use super::row_news::RowNews;
use crate::leading::{decode_lease, is_lease_key};

/// What a node has made of the rows of the store.
pub(super) struct RowRecords {
    wire: Arc<dyn WireFormat>,
    catalog: Option<(CatalogOrigin, Arc<Catalog>)>,
    pub(super) instances: InstanceRecords,
    nodes: NodeRecords,
    zones: ZoneRecords,
    leader: KnownHolder,
}

impl RowRecords {
    /// Creates the records of a node that has read nothing.
    pub(super) fn new(wire: Arc<dyn WireFormat>) -> Self {
        Self {
            wire,
            catalog: None,
            instances: InstanceRecords::default(),
            nodes: NodeRecords::default(),
            zones: ZoneRecords::default(),
            leader: KnownHolder::default(),
        }
    }

    /// Returns the active catalog.
    pub(super) fn catalog(&self) -> Option<&Arc<Catalog>> {
        self.catalog.as_ref().map(|(_, catalog)| catalog)
    }

    /// Returns the leader as far as this node knows.
    pub(super) const fn leader(&self) -> Option<&NodeId> {
        self.leader.get()
    }

    /// Applies rows of a table; returns whether anything but heartbeats has changed.
    pub(super) fn apply(
        &mut self,
        table: StoreTable,
        rows: &[SharedRow],
        news: RowNews,
        source: RowSource,
        now: Instant,
    ) -> bool {
        let mut is_changed = false;
        for row in rows {
            is_changed |= match table {
                StoreTable::Desired => self.apply_desired(row, news, source, now),
                StoreTable::Instances => self.apply_instance(row, news, now),
                StoreTable::Nodes => self.apply_node(row, news, now),
            };
        }
        is_changed
    }

    /// Removes what has been missing in the store for long; returns whether there was any.
    pub(super) fn remove_expired(&mut self, now: Instant) -> bool {
        let mut is_changed = self.instances.remove_expired(now);
        for zone in self.zones.remove_expired(now) {
            info!(zone:% = zone; "zone taken back, as it was not written again");
            is_changed = true;
        }
        is_changed | self.nodes.remove_expired(now)
    }

    /// Returns a snapshot of the instances, groups and nodes.
    pub(super) fn directory(&self, now: Instant) -> Directory {
        let mut directory = Directory {
            zones_out: self.zones.zones(),
            unlisted: self.instances.unlisted(),
            lapsed: self.instances.lapsed().clone(),
            cold_until: self.instances.cold_until(now),
            nodes: self.nodes.nodes(),
            ..Directory::default()
        };
        for entry in self.instances.entries() {
            let service = directory.services.entry(entry.service.clone()).or_default();
            service.insert(entry.id.clone(), Arc::clone(entry));
        }
        let services = self.catalog().into_iter();
        for service in services.flat_map(|catalog| catalog.engine_services()) {
            if let Some(engine) = &service.engine {
                let groups = GroupView::collect(engine, directory.instances(&service.id));
                directory.groups.insert(service.id.clone(), groups);
            }
        }
        directory
    }

    fn apply_desired(
        &mut self,
        row: &SharedRow,
        news: RowNews,
        source: RowSource,
        now: Instant,
    ) -> bool {
        let is_removed = row.value.is_none();
        match self.wire.read_desired(row) {
            Ok(DesiredRow::Catalog(catalog)) if !is_removed => self.activate(*catalog, row, source),
            Ok(DesiredRow::ZoneOut(zone)) => match (is_removed, news) {
                (false, _) => {
                    info!(zone:% = zone, row_version:% = row.version, source:% = source; "zone out");
                    self.zones.put(zone)
                }
                (true, RowNews::Changed) => {
                    info!(
                        zone:% = zone, row_version:% = row.version, source:% = source;
                        "zone taken back"
                    );
                    self.zones.remove(&zone)
                }
                (true, RowNews::Restored) => {
                    info!(
                        zone:% = zone, row_version:% = row.version, source:% = source;
                        "zone missing in the restored store"
                    );
                    self.zones.restore_absence(&zone, now);
                    false
                }
            },
            Ok(DesiredRow::Catalog(_) | DesiredRow::Unknown) => false,
            Err(_) if is_removed => false,
            Err(error) => {
                warn!(row_version:% = row.version; "{error}");
                false
            }
        }
    }

    /// Activates a catalog if it replaces the active one.
    fn activate(&mut self, catalog: Catalog, row: &SharedRow, source: RowSource) -> bool {
        let origin = CatalogOrigin {
            catalog: catalog.version,
            row: row.version,
        };
        let active = self.catalog.as_ref().map(|(origin, _)| origin);
        if active.is_some_and(|active| !origin.replaces(active)) {
            return false;
        }
        info!(
            catalog:% = catalog.version, row_version:% = row.version, source:% = source;
            "catalog in force"
        );
        self.catalog = Some((origin, Arc::new(catalog)));
        true
    }

    fn apply_instance(&mut self, row: &SharedRow, news: RowNews, now: Instant) -> bool {
        let Ok(id) = row.key.as_str().parse::<InstanceId>() else {
            return false;
        };
        let entry = match row.value.is_some().then(|| self.wire.read_instance(row)) {
            Some(Ok(entry)) => Some(entry),
            Some(Err(error)) => {
                warn!(row_version:% = row.version; "{error}");
                None
            }
            None => None,
        };
        match (entry, news) {
            (None, RowNews::Changed) => {
                info!(instance:% = id, row_version:% = row.version; "instance gone");
                self.instances.remove(&id, now);
                true
            }
            (None, RowNews::Restored) => {
                info!(
                    instance:% = id, row_version:% = row.version;
                    "instance missing in the restored store"
                );
                self.instances.restore_absence(&id, now);
                false
            }
            (Some(entry), _) => {
                let is_leaving = entry.is_leaving;
                let is_changed = match news {
                    RowNews::Changed => self.instances.put(entry, now),
                    RowNews::Restored => self.instances.restore(entry, now),
                };
                if is_changed && is_leaving {
                    info!(instance:% = id, row_version:% = row.version; "instance leaving");
                } else if is_changed {
                    debug!(instance:% = id, row_version:% = row.version; "instance changed");
                }
                is_changed
            }
        }
    }

    /// Applies a row of a node or of the leader's lease.
    fn apply_node(&mut self, row: &SharedRow, news: RowNews, now: Instant) -> bool {
        if is_lease_key(&row.key) {
            self.leader.observe(decode_lease(row).as_ref(), row.version);
            return false;
        }
        let Some(node) = NodeRow::node(&row.key) else {
            return false;
        };
        match row.value.as_deref().map(serde_json::from_slice) {
            Some(Ok(node_row)) => self.nodes.put(node, node_row),
            Some(Err(error)) => {
                warn!(node:% = node; "failed to decode the row of a node: {error}");
                self.nodes.remove(&node)
            }
            None if news == RowNews::Restored => {
                self.nodes.restore_absence(&node, now);
                false
            }
            None => self.nodes.remove(&node),
        }
    }
}
