//! The freshness of this node's knowledge of the table, shared by its tasks.

use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_fleet::freshness::{
    FreshnessBounds, NodeFreshness, OutageExtension, TableReport, TakeoverClearance,
};
use cuminlb_fleet::lease::HeldLease;
use cuminlb_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

/// How fresh this node's knowledge of the table is, shared by its tasks.
///
/// Decides whether the node may act on its configuration and leases, also during an outage of the
/// table.
#[derive(Debug)]
pub struct TableFreshness {
    bounds: FreshnessBounds,
    freshness: Mutex<NodeFreshness>,
    outage_extension: watch::Sender<OutageExtension>,
    clearance: Mutex<Option<TakeoverClearance>>,
}

impl TableFreshness {
    /// Starts without any knowledge of the table.
    pub fn new(node: NodeId, bounds: FreshnessBounds) -> Self {
        Self {
            bounds,
            freshness: Mutex::new(NodeFreshness::new(node, bounds)),
            outage_extension: watch::Sender::default(),
            clearance: Mutex::default(),
        }
    }

    /// Returns the bounds by which freshness is evaluated.
    pub const fn bounds(&self) -> &FreshnessBounds {
        &self.bounds
    }

    /// Records a read of the configuration that was sent at `sent_at`; `config` is in effect here.
    pub fn record_read(&self, sent_at: Instant, config: ConfigVersion) {
        self.lock().record_read(sent_at, Instant::now(), config);
    }

    /// Records any other response of the table.
    pub fn record_contact(&self) {
        self.lock().record_response(Instant::now());
    }

    /// Records the report of a peer that was requested at `sent_at`; `config` is in effect here.
    pub fn record_report(
        &self,
        peer: NodeId,
        sent_at: Instant,
        report: TableReport,
        config: ConfigVersion,
    ) {
        self.lock().record_report(peer, sent_at, report, config);
    }

    /// Records the notice of a peer that it has read the table.
    pub fn record_notice(&self, read_age_ms: Millis, newest_config: ConfigVersion) {
        self.lock()
            .record_notice(Instant::now(), read_age_ms, newest_config);
    }

    /// Records that a configuration is known to be committed.
    pub fn record_newest_config(&self, config: ConfigVersion) {
        self.lock().record_newest_config(config);
    }

    /// Extends the validity of this node's knowledge and leases during an outage, if the reports of
    /// a majority of the listed nodes allow it.
    pub fn extend_validity(&self, listed: &[NodeId], config: ConfigVersion) {
        let mut freshness = self.lock();
        freshness.update_extension(Instant::now(), listed, config);
        self.outage_extension.send_replace(freshness.extension());
    }

    /// Returns the report of this node about the table.
    pub fn table_report(&self) -> TableReport {
        self.lock().report(Instant::now())
    }

    /// Returns the age of the confirmed knowledge, or `None` before the first response.
    pub fn age_ms(&self) -> Option<Millis> {
        self.lock().age_ms(Instant::now())
    }

    /// Returns whether this node has read the table since its start, but has had no sign of it for
    /// longer than the silence bound.
    pub fn is_silent(&self) -> bool {
        self.lock().is_silent(Instant::now())
    }

    /// Returns whether this node may act on the configuration in effect here.
    pub fn is_confirmed(&self) -> bool {
        self.lock().is_confirmed(Instant::now())
    }

    /// Returns whether the holder of a lease may act.
    pub fn is_lease_valid(&self, lease: &HeldLease) -> bool {
        self.lock().is_lease_valid(lease, Instant::now())
    }

    /// Returns a receiver of the outage extension as it changes.
    pub fn subscribe_extension(&self) -> watch::Receiver<OutageExtension> {
        self.outage_extension.subscribe()
    }

    /// Stores a clearance, to be reused for other leases that expire at about the same time.
    pub fn store_clearance(&self, clearance: TakeoverClearance) {
        *self.lock_clearance() = Some(clearance);
    }

    /// Returns the clearance that was obtained last.
    pub fn last_clearance(&self) -> Option<TakeoverClearance> {
        *self.lock_clearance()
    }

    fn lock(&self) -> MutexGuard<'_, NodeFreshness> {
        self.freshness
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_clearance(&self) -> MutexGuard<'_, Option<TakeoverClearance>> {
        self.clearance
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
