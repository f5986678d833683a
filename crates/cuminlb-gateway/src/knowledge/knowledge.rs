//! The state of the platform as this node knows it, built from the rows of the store.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_catalog::{Catalog, SharedRow, StoreTable, WireFormat};
use cuminlb_replica::{RowSink, RowSource};
use cuminlb_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio::time::Instant;

use super::Directory;
use super::row_news::RowNews;
use super::row_records::RowRecords;
use crate::metrics::{GatewayMetrics, StoreLabels};

/// All that a node knows about the platform.
pub(crate) struct Knowledge {
    metrics: GatewayMetrics,
    records: Mutex<RowRecords>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    directory: watch::Sender<Arc<Directory>>,
    leader: watch::Sender<Option<NodeId>>,
    /// The number of times that the table of the nodes was found restored from a copy.
    restorations: watch::Sender<u64>,
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
            metrics,
            records: Mutex::new(RowRecords::new(wire)),
            catalog: watch::Sender::new(None),
            directory: watch::Sender::new(Arc::default()),
            leader: watch::Sender::new(None),
            restorations: watch::Sender::new(0),
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

    /// Returns the leader as far as this node knows.
    pub(crate) fn leader(&self) -> Option<NodeId> {
        self.leader.borrow().clone()
    }

    /// Returns a receiver that is notified of each new catalog.
    pub(crate) fn catalog_changes(&self) -> watch::Receiver<Option<Arc<Catalog>>> {
        self.catalog.subscribe()
    }

    /// Returns a receiver that is notified of each new directory.
    pub(crate) fn directory_changes(&self) -> watch::Receiver<Arc<Directory>> {
        self.directory.subscribe()
    }

    /// Returns a receiver that is notified when the rows of the nodes were restored from a copy.
    pub(crate) fn restorations(&self) -> watch::Receiver<u64> {
        self.restorations.subscribe()
    }

    /// Removes what has been missing in the store for long.
    pub(crate) fn remove_expired(&self, now: Instant) {
        let mut records = self.records();
        if records.remove_expired(now) {
            self.publish(&records, now);
        }
    }

    /// Records that an incarnation of an instance has stated that it leaves, whatever its entry says.
    /// Returns whether that is news.
    pub(crate) fn record_leaving(&self, id: &InstanceId, incarnation: Incarnation) -> bool {
        let now = Instant::now();
        let mut records = self.records();
        let is_news = records.instances.record_leaving(id, incarnation, now);
        if is_news {
            info!(instance:% = id, incarnation:% = incarnation; "instance states that it leaves");
            self.publish(&records, now);
        }
        is_news
    }

    fn apply(
        &self,
        table: StoreTable,
        rows: &[SharedRow],
        news: RowNews,
        source: RowSource,
        now: Instant,
    ) {
        let mut records = self.records();
        if records.apply(table, rows, news, source, now) {
            self.publish(&records, now);
        }
        if table == StoreTable::Nodes {
            self.leader.send_replace(records.leader().cloned());
        }
    }

    fn publish(&self, records: &RowRecords, now: Instant) {
        self.catalog.send_if_modified(|known| {
            let is_known = match (known.as_ref(), records.catalog()) {
                (Some(known), Some(active)) => Arc::ptr_eq(known, active),
                (None, None) => true,
                _ => false,
            };
            if !is_known {
                *known = records.catalog().cloned();
            }
            !is_known
        });
        self.directory
            .send_replace(Arc::new(records.directory(now)));
    }

    fn records(&self) -> MutexGuard<'_, RowRecords> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RowSink for Knowledge {
    fn rows_changed(&self, table: StoreTable, rows: &[SharedRow], source: RowSource, now: Instant) {
        self.apply(table, rows, RowNews::Changed, source, now);
    }

    fn table_restored(
        &self,
        table: StoreTable,
        rows: &[SharedRow],
        source: RowSource,
        now: Instant,
    ) {
        let era = rows.first().map(|row| row.version.era.get());
        info!(table:% = table, era = era, rows = rows.len(), source:% = source; "store restored");
        if table == StoreTable::Instances {
            self.records().instances.record_restoration(now);
        }
        self.apply(table, rows, RowNews::Restored, source, now);
        if table == StoreTable::Nodes {
            self.restorations.send_modify(|count| *count += 1);
        }
    }

    fn store_called(&self, table: StoreTable, is_ok: bool, now: Instant) {
        let labels = StoreLabels {
            table: table.to_string(),
            outcome: if is_ok { "ok" } else { "failed" }.to_owned(),
        };
        self.metrics.store_calls.get_or_create(&labels).inc();
        if !is_ok {
            self.records().instances.record_store_failure(now);
        }
    }

    fn peer_lost_store(&self, now: Instant) {
        self.records().instances.record_store_failure(now);
    }

    fn peer_asked(&self) {
        self.metrics.peer_fetches.inc();
    }
}
