//! What a node does when an instance falls silent.

use std::sync::Arc;

use cuminlb_peer::SuspicionNotice;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::ask::Ask;
use super::target::Target;
use crate::gateway::Gateway;
use crate::leading::leader_in;

impl Gateway {
    /// Sends nothing more to an instance from which nothing has come for a request since
    /// `heard_at`, and tells the leader.
    pub(super) fn suspect(self: &Arc<Self>, ask: &Ask, target: &Target, heard_at: Instant) {
        let Some((group, epoch)) = target.group.clone() else {
            return;
        };
        let now = Instant::now();
        let load = self.loads.load(&target.instance);
        if !load.suspect(epoch, now) {
            return;
        }
        self.metrics.suspicions.inc();
        let silent_ms = Millis::from(now.duration_since(heard_at));
        info!(
            request:% = ask.head.id, instance:% = target.instance, group:% = group,
            epoch:% = epoch, silent_ms = silent_ms.get();
            "head suspected"
        );
        let notice = SuspicionNotice {
            node: self.settings.id.clone(),
            head: target.instance.clone(),
            group,
            epoch,
            silent_ms,
        };
        let Some(leader) = leader_in(&self.knowledge) else {
            warn!(instance:% = target.instance; "there is no leader to tell");
            return;
        };
        if leader == self.settings.id {
            self.suspicions.raise(notice);
            return;
        }
        let directory = self.knowledge.directory();
        let Some(link) = self.peers.link(&directory, &leader) else {
            warn!(node:% = leader; "the leader is not listed");
            return;
        };
        self.errands.spawn(async move {
            if let Err(error) = link.suspect(notice).await {
                warn!(node:% = leader; "the leader was not told: {error}");
            }
        });
    }
}
