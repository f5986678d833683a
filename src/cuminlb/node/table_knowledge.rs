//! [`TableKnowledge`].

use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_fleet::freshness::{
    FreshnessBounds, NodeFreshness, OutageExtension, TableReport, TakeoverClearance,
};
use cuminlb_fleet::lease::HeldLease;
use cuminlb_types::prelude::*;
use tokio::sync::watch;
use tokio::time::Instant;

/// What this node knows of the table, as its tasks share it.
#[derive(Debug)]
pub struct TableKnowledge {
    bounds: FreshnessBounds,
    freshness: Mutex<NodeFreshness>,
    extension: watch::Sender<OutageExtension>,
    clearance: Mutex<Option<TakeoverClearance>>,
}

impl TableKnowledge {
    /// Starts without any knowledge.
    pub fn new(node: NodeId, bounds: FreshnessBounds) -> Self {
        Self {
            bounds,
            freshness: Mutex::new(NodeFreshness::new(node, bounds)),
            extension: watch::Sender::default(),
            clearance: Mutex::default(),
        }
    }

    /// Returns the bounds of the standing.
    pub const fn bounds(&self) -> &FreshnessBounds {
        &self.bounds
    }

    /// Notes a read of the configuration that was sent at `sent_at`; `config` is in force here.
    pub fn record_read(&self, sent_at: Instant, config: ConfigVersion) {
        self.lock().record_read(sent_at, Instant::now(), config);
    }

    /// Notes an answer of the table about anything else.
    pub fn record_response(&self) {
        self.lock().record_response(Instant::now());
    }

    /// Notes the statement of a peer that was asked at `sent_at`.
    pub fn record_report(
        &self,
        peer: NodeId,
        sent_at: Instant,
        said: TableReport,
        config: ConfigVersion,
    ) {
        self.lock().record_report(peer, sent_at, said, config);
    }

    /// Notes the notice of a peer that it read the table.
    pub fn record_notice(&self, read_age_ms: Millis, newest: ConfigVersion) {
        self.lock()
            .record_notice(Instant::now(), read_age_ms, newest);
    }

    /// Notes that a configuration is known to be committed.
    pub fn record_newest_config(&self, config: ConfigVersion) {
        self.lock().record_newest_config(config);
    }

    /// Extends the cover of this node by the statements at hand.
    pub fn update_extension(&self, listed: &[NodeId], config: ConfigVersion) {
        let mut freshness = self.lock();
        freshness.update_extension(Instant::now(), listed, config);
        self.extension.send_replace(freshness.extension());
    }

    /// Returns what this node states about the table.
    pub fn statement(&self) -> TableReport {
        self.lock().statement(Instant::now())
    }

    /// Returns the age of the knowledge, or `None` before the first answer.
    pub fn age_ms(&self) -> Option<Millis> {
        self.lock().age_ms(Instant::now())
    }

    /// Tells whether this node hears the table no longer.
    pub fn is_silent(&self) -> bool {
        self.lock().is_silent(Instant::now())
    }

    /// Tells whether this node may act on the configuration in force here.
    pub fn is_confirmed(&self) -> bool {
        self.lock().is_confirmed(Instant::now())
    }

    /// Tells whether the holder of a lease may act.
    pub fn is_lease_valid(&self, lease: &HeldLease) -> bool {
        self.lock().is_lease_valid(lease, Instant::now())
    }

    /// Returns the cover as it changes.
    pub fn watch_cover(&self) -> watch::Receiver<OutageExtension> {
        self.extension.subscribe()
    }

    /// Keeps a clearance for other leases that lapse about now.
    pub fn keep_clearance(&self, clearance: TakeoverClearance) {
        *self.lock_clearance() = Some(clearance);
    }

    /// Returns the clearance that was gathered last.
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
