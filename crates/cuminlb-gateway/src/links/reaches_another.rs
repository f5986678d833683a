//! Checks this node's own links by other instances than the one in doubt.

use std::collections::BTreeSet;

use cuminlb_catalog::InstanceEntry;
use cuminlb_types::prelude::*;
use futures_util::future::join_all;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use crate::gateway::Gateway;

/// The number of other instances that are probed.
const CONTROL_INSTANCES: usize = 4;

impl Gateway {
    /// Returns whether this node reaches an instance other than `doubted`: something was received from
    /// one after `since`, or one that is not known to be out of reach responds to a probe now.
    pub(super) async fn reaches_another(&self, doubted: &InstanceId, since: Instant) -> bool {
        if self.links.has_contact_since(since) {
            return true;
        }
        let directory = self.knowledge.directory();
        let instances = directory.services.values().flat_map(|it| it.values());
        let is_in_doubt = |id| id == doubted || self.links.is_unreached(id);
        let others = instances.filter(|entry| !is_in_doubt(&entry.id) && !entry.is_leaving);
        let chosen = choose_controls(others.map(AsRef::as_ref).collect());
        let probes = chosen.into_iter().map(|entry| self.probe_link(entry));
        join_all(probes).await.iter().any(Result::is_ok)
    }

    /// Checks other instances than `doubted` if its failure would show that all links are lost. Callers
    /// may just not have used the others lately.
    pub(super) async fn confirm_loss(&self, doubted: &InstanceId) {
        let now = Instant::now();
        if self.links.is_loss_near(now) {
            self.reaches_another(doubted, now).await;
        }
    }
}

/// Chooses instances of as many services and availability zones as possible, since a node may have lost
/// its links to all instances of one.
fn choose_controls(mut instances: Vec<&InstanceEntry>) -> Vec<&InstanceEntry> {
    instances.shuffle(&mut rand::rng());
    let mut places = BTreeSet::new();
    let (mut chosen, mut rest) = (Vec::new(), Vec::new());
    for entry in instances {
        if places.insert((&entry.service, &entry.zone)) {
            chosen.push(entry);
        } else {
            rest.push(entry);
        }
    }
    chosen.append(&mut rest);
    chosen.truncate(CONTROL_INSTANCES);
    chosen
}
