//! Handles group heads that fall silent: stops new requests, probes the group and notifies the
//! leader.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_peer::{GroupHealth, InstanceCheck, InstanceQuery, SuspicionNotice};
use cuminlb_replica::{RelayLane, RowOrigin};
use cuminlb_routing::{CheckTiming, LinkRoute, SilenceReports};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use super::admitted_request::AdmittedRequest;
use super::group_checks::GroupChecks;
use super::notice_failure::NoticeFailure;
use super::probe_group::probe_member;
use super::target::Target;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// How long a notice to the leader is repeated, which covers the time without a leader after one has
/// failed.
const NOTICE_VALIDITY: Duration = Duration::from_secs(6);

/// Delay before a notice that no leader has received is repeated.
const NOTICE_RETRY_DELAY: Duration = Duration::from_millis(150);

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
        let started_at = now;
        let evidence_ms = self.silence_evidence(load.silence(now), now).min(silent_ms);
        let notice = SuspicionNotice {
            silent_ms: evidence_ms,
            ..notice
        };
        let gateway = Arc::clone(self);
        self.background_tasks.spawn(async move {
            let head = notice.head.clone();
            let health = check_group(&gateway, notice).await;
            if !health.is_lost() && load.is_lost_since(epoch, started_at) {
                // The loss was found since by another check or node. This result must not undo that.
                return;
            }
            let now = Instant::now();
            if gateway.links.route(&head) == LinkRoute::Forwarded && !health.is_lost() {
                load.record_link_lost(epoch, now);
            } else {
                load.record_group_health(epoch, health, now);
                if health.is_lost() {
                    gateway.record_known_loss(&head, epoch, now);
                }
            }
        });
    }

    /// Returns the silence of a head that this node reports to its relay, which is zero if the links of
    /// this node may be at fault.
    fn silence_evidence(&self, silence: Duration, now: Instant) -> Millis {
        SilenceReports::evidence(silence, self.links.contact_age(now))
    }

    /// Notifies the leader about a head. While no node leads or the leader does not respond, the
    /// notice is repeated, because the head may not be found silent again.
    pub(super) async fn notify_leader(&self, notice: SuspicionNotice) {
        let repeat_until = Instant::now() + NOTICE_VALIDITY;
        let mut is_first = true;
        while let Err(failure) = self.try_notify_leader(&notice).await {
            let is_last = Instant::now() >= repeat_until;
            if is_first || is_last {
                warn!(
                    instance:% = notice.head, epoch:% = notice.epoch, is_last = is_last;
                    "failed to notify the leader about a head: {failure}"
                );
            }
            if is_last {
                return;
            }
            is_first = false;
            sleep(NOTICE_RETRY_DELAY).await;
        }
    }

    async fn try_notify_leader(&self, notice: &SuspicionNotice) -> Result<(), NoticeFailure> {
        let leader = self.knowledge.leader().ok_or(NoticeFailure::NoLeader)?;
        if leader == self.settings.id {
            self.suspicions.add(notice.clone());
            return Ok(());
        }
        let directory = self.knowledge.directory();
        let Some(link) = self.peers.link(&directory, &leader, RelayLane::News) else {
            return Err(NoticeFailure::Unlisted { leader });
        };
        let notified = link.suspect(notice.clone()).await;
        notified.map_err(|error| NoticeFailure::Call { leader, error })
    }
}

/// Has the group of a silent head checked: by the relay that this node follows, which does it once
/// for all its followers, or else by this node.
async fn check_group(gateway: &Arc<Gateway>, notice: SuspicionNotice) -> GroupHealth {
    let directory = gateway.knowledge.directory();
    if let RowOrigin::Relay(relay) = gateway.follower.origin()
        && let Some(link) = gateway.peers.link(&directory, &relay, RelayLane::News)
    {
        let wait_ms = CheckTiming::FOLLOWER_WAIT_MS;
        let checked = link.check_group(notice.clone(), wait_ms);
        let checked = timeout(wait_ms.duration(), checked).await;
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
