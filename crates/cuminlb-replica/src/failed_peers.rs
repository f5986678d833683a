//! Peers that recently failed to provide rows.

use std::collections::BTreeMap;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long a peer is avoided after its first failure.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(4_000);

/// Maximum time for which a peer is avoided after repeated failures.
const MAX_AVOIDANCE: Duration = Duration::from_millis(32_000);

/// The peers that have failed a node that follows them.
///
/// A peer that fails again at its next use is avoided for twice as long, because its row may be that
/// of a node that no longer exists.
#[derive(Clone, Debug, Default)]
pub struct FailedPeers {
    failures: BTreeMap<NodeId, Failure>,
}

#[derive(Clone, Copy, Debug)]
struct Failure {
    failed_at: Instant,
    avoidance: Duration,
}

impl Failure {
    fn avoided_until(&self) -> Instant {
        self.failed_at + self.avoidance
    }
}

impl FailedPeers {
    /// Records that a peer provided no rows or outdated ones.
    pub fn record_failure(&mut self, node: NodeId, now: Instant) {
        let previous = self.failures.get(&node);
        let avoidance = previous.map_or(FIRST_AVOIDANCE, |failure| {
            (failure.avoidance * 2).min(MAX_AVOIDANCE)
        });
        let failure = Failure {
            failed_at: now,
            avoidance,
        };
        self.failures.insert(node, failure);
    }

    /// Records that a peer provided recent rows.
    pub fn record_success(&mut self, node: &NodeId) {
        self.failures.remove(node);
    }

    /// Returns whether a peer is avoided at a time.
    pub fn is_avoided(&self, node: &NodeId, now: Instant) -> bool {
        let failure = self.failures.get(node);
        failure.is_some_and(|failure| now < failure.avoided_until())
    }

    /// Returns the number of peers whose latest failure is younger than `max_age`.
    pub fn recent_count(&self, max_age: Duration, now: Instant) -> usize {
        let failures = self.failures.values();
        let recent = failures.filter(|failure| now.duration_since(failure.failed_at) < max_age);
        recent.count()
    }

    /// Forgets the peers that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&NodeId) -> bool) {
        self.failures.retain(|node, _| is_listed(node));
    }
}
