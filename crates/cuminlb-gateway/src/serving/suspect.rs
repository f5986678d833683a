//! Handles group heads that fall silent: stops new requests, probes the group and notifies the
//! leader.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_peer::{GroupHealth, InstanceCheck, InstanceQuery, SuspicionNotice};
use cuminlb_replica::{RelayLane, RowOrigin};
use cuminlb_routing::LinkRoute;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::{Instant, timeout};

use super::admitted_request::AdmittedRequest;
use super::group_checks::GroupChecks;
use super::probe_group::probe_member;
use super::target::Target;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// Time within which a relay reports the result of a check.
const RELAY_CHECK_TIMEOUT: Duration = Duration::from_millis(250);

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
            let head = notice.head.clone();
            let health = check_group(&gateway, notice).await;
            let now = Instant::now();
            if gateway.links.route(&head) == LinkRoute::Forwarded && !health.is_lost() {
                load.record_link_lost(epoch, now);
            } else {
                load.record_group_health(epoch, health, now);
            }
        });
    }

    pub(super) async fn notify_leader(&self, notice: SuspicionNotice) {
        let Some(leader) = self.knowledge.leader() else {
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

/// Has the group of a silent head checked: by the relay that this node follows, which does it once
/// for all its followers, or else by this node.
async fn check_group(gateway: &Arc<Gateway>, notice: SuspicionNotice) -> GroupHealth {
    let directory = gateway.knowledge.directory();
    if let RowOrigin::Relay(relay) = gateway.follower.origin()
        && let Some(link) = gateway.peers.link(&directory, &relay, RelayLane::News)
    {
        let checked = timeout(RELAY_CHECK_TIMEOUT, link.check_group(notice.clone())).await;
        match checked {
            Ok(Ok(health)) if health != GroupHealth::Intact => return health,
            Ok(Ok(health)) => {
                check_own_link(gateway, &directory, &notice).await;
                return health;
            }
            Ok(Err(error)) => warn!(node:% = relay; "failed to have a group checked: {error}"),
            Err(_elapsed) => warn!(node:% = relay; "the check of a group took too long"),
        }
    }
    GroupChecks::check(gateway, notice).await
}

/// Checks whether this node reaches the head of a group that is intact to others.
async fn check_own_link(gateway: &Arc<Gateway>, directory: &Directory, notice: &SuspicionNotice) {
    if gateway.links.route(&notice.head) != LinkRoute::Direct {
        return;
    }
    let Some(head) = directory.find_instance(&notice.head) else {
        return;
    };
    if let Err(failure) = probe_member(gateway, head).await {
        let query = InstanceQuery {
            instance: notice.head.clone(),
            check: InstanceCheck::HoldsSeat {
                group: notice.group.clone(),
                epoch: notice.epoch,
            },
        };
        gateway.judge_instance(query, failure).await;
    }
}
