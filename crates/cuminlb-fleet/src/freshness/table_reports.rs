//! The reports of the peers, from which a node computes its outage extension.

use std::collections::HashMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{FreshnessBounds, Quorum, TableReport};

/// The newest report of each peer, with the time at which it was requested.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TableReports {
    reports: HashMap<NodeId, (Instant, TableReport)>,
}

impl TableReports {
    /// Records the report of a peer; drops it if it responds to an earlier request than the
    /// stored one.
    pub fn record(&mut self, peer: NodeId, sent_at: Instant, report: TableReport) {
        let newest = self.reports.entry(peer).or_insert((sent_at, report));
        if newest.0 <= sent_at {
            *newest = (sent_at, report);
        }
    }

    /// Removes the reports of nodes that are no longer listed.
    pub fn retain_listed(&mut self, listed: &[NodeId]) {
        self.reports.retain(|peer, _| listed.contains(peer));
    }

    /// Returns the time until which a majority of the listed nodes extends the right to act on
    /// the configuration `config`. `own` is the id of this node and its own report at `now`.
    pub fn extended_until(
        &self,
        own: (&NodeId, TableReport),
        listed: &[NodeId],
        config: ConfigVersion,
        now: Instant,
        bounds: &FreshnessBounds,
    ) -> Option<Instant> {
        let (own_id, own_report) = own;
        let supports = |report: &TableReport| report.is_silent && report.newest_config <= config;
        if !supports(&own_report) {
            return None;
        }
        let mut requested_at: Vec<Instant> = listed
            .iter()
            .filter_map(|node| match node {
                node if node == own_id => Some(now),
                node => self
                    .reports
                    .get(node)
                    .filter(|(_, report)| supports(report))
                    .map(|(sent_at, _)| *sent_at),
            })
            .collect();
        requested_at.sort_by_key(|at| std::cmp::Reverse(*at));
        let needed = Quorum::of(listed.len()).to_extend();
        let oldest_needed = requested_at.get(needed - 1)?;
        let until = *oldest_needed + bounds.report_validity_ms.duration();
        (now < until).then_some(until)
    }
}
