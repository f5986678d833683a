//! The group checks that are under way or recent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cuminlb_peer::{GroupHealth, SuspicionNotice};
use cuminlb_routing::{CheckTiming, SilenceReports};
use cuminlb_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use super::probe_group::probe_group;
use crate::gateway::Gateway;

/// How long after its start a completed check also serves those who ask later.
const CHECK_VALIDITY: Duration = Duration::from_millis(400);

/// The group checks that are under way or recent, so that many nodes which notice the same silence
/// lead to one probe of each member.
#[derive(Debug, Default)]
pub(crate) struct GroupChecks {
    checks: Mutex<HashMap<GroupKey, Check>>,
}

/// A group in an epoch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    group: GroupId,
    epoch: Epoch,
}

#[derive(Debug)]
struct Check {
    started_at: Instant,
    result: watch::Receiver<Option<GroupHealth>>,
    /// The nodes that have asked for this check because the head is silent to them.
    reports: watch::Sender<SilenceReports>,
}

impl Check {
    /// Returns whether the check is under way or its result still serves those who ask.
    fn is_usable(&self, now: Instant) -> bool {
        // A task that has ended without a result has closed the channel.
        let is_running = self.result.borrow().is_none() && self.result.has_changed().is_ok();
        is_running || now.duration_since(self.started_at) < CHECK_VALIDITY
    }
}

impl GroupChecks {
    /// Returns the result of a recent check of the group, or starts one.
    pub(crate) async fn check(gateway: &Arc<Gateway>, notice: SuspicionNotice) -> GroupHealth {
        let mut result = gateway.group_checks.join_or_start(gateway, notice);
        let health = result.wait_for(Option::is_some).await;
        // The check has failed if its task ended without a result.
        health.map_or(GroupHealth::Intact, |health| {
            health.unwrap_or(GroupHealth::Intact)
        })
    }

    /// Returns the result of a check like [`Self::check`], within the time that a follower waits for it.
    /// If the check takes longer, the result is [`GroupHealth::Intact`]; a loss that is found later is
    /// reported with the next exchange of load.
    pub(crate) async fn check_in_time(
        gateway: &Arc<Gateway>,
        notice: SuspicionNotice,
    ) -> GroupHealth {
        let limit = CheckTiming::RELAY_ANSWER_MS.duration();
        let checked = timeout(limit, Self::check(gateway, notice)).await;
        checked.unwrap_or(GroupHealth::Intact)
    }

    fn join_or_start(
        &self,
        gateway: &Arc<Gateway>,
        notice: SuspicionNotice,
    ) -> watch::Receiver<Option<GroupHealth>> {
        let now = Instant::now();
        let key = GroupKey {
            group: notice.group.clone(),
            epoch: notice.epoch,
        };
        let mut checks = self.checks.lock().unwrap_or_else(PoisonError::into_inner);
        checks.retain(|_, check| check.is_usable(now));
        if let Some(check) = checks.get(&key) {
            add_report(gateway, &check.reports, &notice);
            return check.result.clone();
        }
        let (sender, result) = watch::channel(None);
        let (reports, received) = watch::channel(SilenceReports::new(gateway.settings.id.clone()));
        add_report(gateway, &reports, &notice);
        let check = Check {
            started_at: now,
            result: result.clone(),
            reports,
        };
        checks.insert(key, check);
        let checking = Arc::clone(gateway);
        gateway.background_tasks.spawn(async move {
            let health = run_check(&checking, notice, received).await;
            sender.send_replace(Some(health));
        });
        result
    }
}

/// Adds the report of a node to which the head of a group is silent.
fn add_report(
    gateway: &Gateway,
    reports: &watch::Sender<SilenceReports>,
    notice: &SuspicionNotice,
) {
    let directory = gateway.knowledge.directory();
    if let Some(row) = directory.nodes.get(&notice.node) {
        reports.send_if_modified(|it| it.record(&notice.node, &row.zone, notice.silent_ms));
    }
}

/// Probes the members of a group, and notifies the leader if the group is unhealthy, and other nodes if it
/// can't continue.
async fn run_check(
    gateway: &Arc<Gateway>,
    notice: SuspicionNotice,
    reports: watch::Receiver<SilenceReports>,
) -> GroupHealth {
    let started_at = Instant::now();
    // A group that this node does not know may be one that it has not heard of yet.
    let directory = gateway.knowledge.directory();
    let is_known = directory.find_group(&notice.group, notice.epoch).is_some();
    let health = probe_group(gateway, &notice.group, notice.epoch, &reports).await;
    info!(
        instance:% = notice.head, group:% = notice.group, epoch:% = notice.epoch,
        standing:? = health, reports = reports.borrow().count(),
        age_ms = Millis::from(started_at.elapsed()).get();
        "silent head checked"
    );
    if health.is_lost() && is_known {
        gateway.record_found_loss(&notice.head, notice.epoch, health);
    }
    if health != GroupHealth::Intact {
        let notifying = Arc::clone(gateway);
        gateway
            .background_tasks
            .spawn(async move { notifying.notify_leader(notice).await });
    }
    health
}
