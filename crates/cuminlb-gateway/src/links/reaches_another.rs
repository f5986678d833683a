//! Checks this node's own links by other instances than the one in doubt.

use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tokio::time::Instant;

use crate::gateway::Gateway;

/// The number of other instances that are probed.
const CONTROL_INSTANCES: usize = 3;

impl Gateway {
    /// Returns whether this node reaches an instance other than `doubted`: something was received from
    /// one after `since`, or one responds to a probe now.
    pub(super) async fn reaches_another(&self, doubted: &InstanceId, since: Instant) -> bool {
        if self.links.has_contact_since(since) {
            return true;
        }
        let directory = self.knowledge.directory();
        let instances = directory.services.values().flat_map(|it| it.values());
        let others = instances.filter(|entry| entry.id != *doubted);
        let chosen = others.sample(&mut rand::rng(), CONTROL_INSTANCES);
        let probes = chosen.into_iter().map(|entry| self.probe_link(entry));
        join_all(probes).await.iter().any(Result::is_ok)
    }
}
