//! Peers that recently failed to provide rows.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long a peer is avoided that provided no rows or outdated ones.
const AVOIDANCE_PERIOD: Duration = Duration::from_millis(4_000);

/// The peers that have failed a node that follows them.
#[derive(Clone, Debug, Default)]
pub(super) struct FailedPeers {
    failed_at: BTreeMap<NodeId, Instant>,
}

impl FailedPeers {
    /// Records that a peer has failed, and removes expired failures.
    pub(super) fn record_failure(&mut self, node: NodeId, now: Instant) {
        self.failed_at
            .retain(|_, at| now.duration_since(*at) < AVOIDANCE_PERIOD);
        self.failed_at.insert(node, now);
    }

    /// Returns whether a peer has failed within [`AVOIDANCE_PERIOD`].
    pub(super) fn has_failed(&self, node: &NodeId, now: Instant) -> bool {
        let failed_at = self.failed_at.get(node);
        failed_at.is_some_and(|at| now.duration_since(*at) < AVOIDANCE_PERIOD)
    }
}
