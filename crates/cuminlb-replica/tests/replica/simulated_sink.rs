//! [`SimulatedSink`]: records when rows arrive at a node.

use std::collections::BTreeMap;
use std::sync::Mutex;

use cuminlb_catalog::{SharedRow, StoreTable};
use cuminlb_replica::{RowSink, RowSource};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// Records when each row reached its latest version, and checks that versions only rise.
#[derive(Debug, Default)]
pub struct SimulatedSink {
    arrivals: Mutex<BTreeMap<(StoreTable, RowKey), (StoreVersion, Instant)>>,
}

impl SimulatedSink {
    /// Returns when a row of at least a version arrived.
    pub fn arrival(
        &self,
        table: StoreTable,
        key: &RowKey,
        version: StoreVersion,
    ) -> Option<Instant> {
        let arrivals = self.arrivals.lock().unwrap();
        let (known, at) = arrivals.get(&(table, key.clone()))?;
        (*known >= version).then_some(*at)
    }
}

impl RowSink for SimulatedSink {
    fn rows_changed(&self, table: StoreTable, rows: &[SharedRow], _: RowSource, now: Instant) {
        let mut arrivals = self.arrivals.lock().unwrap();
        for row in rows {
            let known = arrivals.insert((table, row.key.clone()), (row.version, now));
            let is_newer = known.is_none_or(|(version, _)| version < row.version);
            assert!(is_newer, "{table} {} went back to {}", row.key, row.version);
        }
    }

    fn table_restored(
        &self,
        table: StoreTable,
        rows: &[SharedRow],
        source: RowSource,
        now: Instant,
    ) {
        self.rows_changed(table, rows, source, now);
    }

    fn store_called(&self, _: StoreTable, _: bool, _: Instant) {}

    fn peer_lost_store(&self, _: Instant) {}

    fn peer_asked(&self) {}
}
