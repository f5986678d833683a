//! Checks this node's own links by other instances than the one in doubt.

use std::time::Duration;

use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;

/// The number of other instances that are connected to.
const CONTROL_INSTANCES: usize = 3;

/// Time within which one of them must accept the connection.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(120);

impl Gateway {
    /// Returns whether this node reaches an instance other than `doubted`: something was received from
    /// one after `since`, or one accepts a connection now.
    pub(super) async fn reaches_another(&self, doubted: &InstanceId, since: Instant) -> bool {
        if self.links.has_contact_since(since) {
            return true;
        }
        let directory = self.knowledge.directory();
        let instances = directory.services.values().flat_map(|it| it.values());
        let others = instances.filter(|entry| entry.id != *doubted);
        let chosen = others.sample(&mut rand::rng(), CONTROL_INSTANCES);
        let attempts = chosen.into_iter().map(|entry| async move {
            let opened = timeout(CONTROL_TIMEOUT, self.pool.connect_new(entry.address)).await;
            let Ok(Ok(connection)) = opened else {
                return false;
            };
            self.pool.release(connection, None);
            self.record_opened(&entry.id);
            true
        });
        join_all(attempts).await.contains(&true)
    }
}
