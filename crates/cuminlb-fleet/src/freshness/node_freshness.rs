//! Combines a node's contact with the table, the reports of its peers and its outage extension
//! into the decision whether the node may act.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{FreshnessBounds, OutageExtension, TableContact, TableReport, TableReports};
use crate::lease::HeldLease;

/// Tracks how current a node's knowledge of the table is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NodeFreshness {
    node: NodeId,
    bounds: FreshnessBounds,
    contact: TableContact,
    newest_config: ConfigVersion,
    reports: TableReports,
    extension: OutageExtension,
}

impl NodeFreshness {
    /// Creates the state of a node that has no knowledge of the table yet.
    pub fn new(node: NodeId, bounds: FreshnessBounds) -> Self {
        Self {
            node,
            bounds,
            contact: TableContact::default(),
            newest_config: ConfigVersion(0),
            reports: TableReports::default(),
            extension: OutageExtension::default(),
        }
    }

    /// Returns the time bounds that this node applies.
    pub const fn bounds(&self) -> &FreshnessBounds {
        &self.bounds
    }

    /// Records a read of the configuration; `config` is the version now active on this node.
    pub fn record_read(&mut self, sent_at: Instant, now: Instant, config: ConfigVersion) {
        self.record_newest_config(config);
        self.contact.record_read(sent_at, now);
    }

    /// Records a response of the table to any other request.
    pub fn record_response(&mut self, now: Instant) {
        self.contact.record_response(now);
    }

    /// Records the report of a peer that was requested at `sent_at`.
    pub fn record_report(
        &mut self,
        peer: NodeId,
        sent_at: Instant,
        report: TableReport,
        config: ConfigVersion,
    ) {
        self.record_newest_config(report.newest_config);
        self.contact.record_report(sent_at, &report, config);
        self.reports.record(peer, sent_at, report);
    }

    /// Records the notice of a peer that it read the table, and the newest configuration that the
    /// peer knows.
    pub fn record_notice(&mut self, now: Instant, read_age_ms: Millis, newest: ConfigVersion) {
        self.record_newest_config(newest);
        self.contact.record_notice(now, read_age_ms);
    }

    /// Records that a configuration is known to be committed.
    pub fn record_newest_config(&mut self, config: ConfigVersion) {
        self.newest_config = self.newest_config.max(config);
    }

    /// Returns what this node reports about the table at `now`.
    pub fn report(&self, now: Instant) -> TableReport {
        TableReport {
            table_age_ms: self.contact.age_ms(now),
            is_silent: self.contact.is_silent(now, &self.bounds),
            newest_config: self.newest_config,
        }
    }

    /// Updates the outage extension from the reports received so far, for the configuration
    /// `config` that is active on this node.
    pub fn update_extension(&mut self, now: Instant, listed: &[NodeId], config: ConfigVersion) {
        self.reports.retain_listed(listed);
        let own = (&self.node, self.report(now));
        let until = self
            .reports
            .extended_until(own, listed, config, now, &self.bounds);
        if let Some(until) = until {
            self.extension.extend(now, until);
        }
    }

    /// Returns the age of the confirmed knowledge, or `None` before the first confirmation.
    pub fn age_ms(&self, now: Instant) -> Option<Millis> {
        self.contact.age_ms(now)
    }

    /// Returns whether this node has lost contact with the table.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.contact.is_silent(now, &self.bounds)
    }

    /// Returns whether this node may act on its active configuration.
    pub fn is_confirmed(&self, now: Instant) -> bool {
        self.contact.is_fresh(now, &self.bounds) || self.extension.is_active(now)
    }

    /// Returns whether the holder of a lease may act: either the lease is still valid, or it
    /// ended in an outage and has been extended without a gap since.
    pub fn is_lease_valid(&self, lease: &HeldLease, now: Instant) -> bool {
        lease.is_valid(now) || self.extension.is_active_since(lease.valid_until, now)
    }

    /// Returns the outage extension.
    pub const fn extension(&self) -> OutageExtension {
        self.extension
    }
}
