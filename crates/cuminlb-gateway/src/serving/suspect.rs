//! Handles group heads that fall silent: stops new requests, probes the group and notifies the
//! leader.

use std::sync::Arc;

use cuminlb_peer::SuspicionNotice;
use cuminlb_replica::RelayLane;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::group_health::GroupHealth;
use super::probe_group::probe_group;
use super::target::Target;
use crate::gateway::Gateway;
use crate::leading::current_leader;

impl Gateway {
    /// Stops sending to a head from which nothing was received for a request since `last_seen_at`,
    /// until the members of its group have been probed. Notifies the leader if the group is
    /// unhealthy.
    pub(super) fn suspect(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        target: &Target,
        last_seen_at: Instant,
    ) {
        let Some((group, epoch)) = target.group.clone() else {
            return;
        };
        let now = Instant::now();
        let load = self.loads.load(&target.instance);
        if !load.suspect(epoch, now) {
            return;
        }
        self.metrics.suspicions.inc();
        let silent_ms = Millis::from(now.duration_since(last_seen_at));
        let notice = SuspicionNotice {
            node: self.settings.id.clone(),
            head: target.instance.clone(),
            group,
            epoch,
            silent_ms,
        };
        info!(
            request:% = request.head.id, instance:% = notice.head, group:% = notice.group,
            epoch:% = epoch, silent_ms = silent_ms.get();
            "head suspected"
        );
        let gateway = Arc::clone(self);
        self.background_tasks.spawn(async move {
            let group_health = probe_group(&gateway, &notice.group, epoch).await;
            info!(
                instance:% = notice.head, group:% = notice.group, epoch:% = epoch,
                standing:? = group_health;
                "silent head checked"
            );
            load.record_group_health(epoch, group_health, Instant::now());
            if group_health != GroupHealth::Intact {
                gateway.notify_leader(notice).await;
            }
        });
    }

    async fn notify_leader(&self, notice: SuspicionNotice) {
        let Some(leader) = current_leader(&self.replica) else {
            warn!(instance:% = notice.head; "no leader to notify about a silent head");
            return;
        };
        if leader == self.settings.id {
            self.suspicions.add(notice);
            return;
        }
        let directory = self.knowledge.directory();
        let Some(link) = self.peers.link(&directory, &leader, RelayLane::News) else {
            warn!(node:% = leader; "the leader is not in the node table");
            return;
        };
        if let Err(error) = link.suspect(notice).await {
            warn!(node:% = leader; "failed to notify the leader: {error}");
        }
    }
}
