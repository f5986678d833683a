//! [`FeedPeers`].

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long a peer is passed over that gave nothing, or nothing new enough.
const FAILED_PERIOD: Duration = Duration::from_millis(4_000);

/// The peers that have failed a node that follows them.
#[derive(Clone, Debug, Default)]
pub(super) struct FeedPeers {
    failed_at: BTreeMap<NodeId, Instant>,
}

impl FeedPeers {
    /// Notes that a peer has failed.
    pub(super) fn note_failure(&mut self, node: NodeId, now: Instant) {
        self.failed_at
            .retain(|_, at| now.duration_since(*at) < FAILED_PERIOD);
        self.failed_at.insert(node, now);
    }

    /// Tells whether a peer has failed lately.
    pub(super) fn has_failed(&self, node: &NodeId, now: Instant) -> bool {
        let failed_at = self.failed_at.get(node);
        failed_at.is_some_and(|at| now.duration_since(*at) < FAILED_PERIOD)
    }
}
