//! The times of a node's last contact with the table, direct or through a peer.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{FreshnessBounds, TableReport};

/// Tracks when a node was last in contact with the table.
///
/// Two times are kept because they must err in opposite directions. `confirmed_at` is never later
/// than the read that it stands for. `last_seen_at` is never earlier than the last sign that any
/// node reads the table, and prevents reports of silence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableContact {
    confirmed_at: Option<Instant>,
    last_seen_at: Option<Instant>,
    has_read: bool,
}

impl TableContact {
    /// Records a read of the configuration that was sent at `sent_at` and whose response arrived
    /// at `now`.
    pub fn record_read(&mut self, sent_at: Instant, now: Instant) {
        self.has_read = true;
        self.confirmed_at = self.confirmed_at.max(Some(sent_at));
        self.record_response(now);
    }

    /// Records that the table sent a response of any kind, received at `now`.
    pub fn record_response(&mut self, now: Instant) {
        self.last_seen_at = self.last_seen_at.max(Some(now));
    }

    /// Records the report of a peer that was requested at `sent_at`.
    ///
    /// The age counts from before the request, so a late response makes the knowledge appear older,
    /// never newer. The report confirms this node only if `config`, this node's configuration, is
    /// at least the newest one that the peer knows.
    pub fn record_report(&mut self, sent_at: Instant, report: &TableReport, config: ConfigVersion) {
        let age = report.table_age_ms.map(Millis::duration);
        let read_at = age.and_then(|age| sent_at.checked_sub(age));
        self.last_seen_at = self.last_seen_at.max(read_at);
        if config >= report.newest_config {
            self.confirmed_at = self.confirmed_at.max(read_at);
        }
    }

    /// Records the notice of a peer that it read the table `read_age_ms` before it sent the
    /// notice.
    ///
    /// The notice may have been in flight for any length of time, so it confirms nothing.
    pub fn record_notice(&mut self, now: Instant, read_age_ms: Millis) {
        let read_at = now.checked_sub(read_age_ms.duration());
        self.last_seen_at = self.last_seen_at.max(read_at);
    }

    /// Returns the age of the confirmed knowledge, or `None` before the first confirmation.
    pub fn age_ms(&self, now: Instant) -> Option<Millis> {
        let rounded_up = |at| Millis::from(now.duration_since(at)) + Millis(1);
        self.confirmed_at.map(rounded_up)
    }

    /// Returns whether the confirmed knowledge is fresh.
    pub fn is_fresh(&self, now: Instant, bounds: &FreshnessBounds) -> bool {
        self.confirmed_at
            .is_some_and(|at| now.duration_since(at) <= bounds.freshness_ms.duration())
    }

    /// Returns whether the node may report that the table is silent. A node that has not read the
    /// table since its start may have lost the memory of notices that it acknowledged before the
    /// restart, and must not report silence.
    pub fn is_silent(&self, now: Instant, bounds: &FreshnessBounds) -> bool {
        let is_expired = |at| now.duration_since(at) > bounds.silence_ms.duration();
        self.has_read && self.last_seen_at.is_some_and(is_expired)
    }
}
