//! The group checks that are under way or recent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use cuminlb_peer::{GroupHealth, SuspicionNotice};
use cuminlb_types::prelude::*;
use log::info;
use tokio::sync::watch;
use tokio::time::Instant;

use super::probe_group::probe_group;
use crate::gateway::Gateway;

/// How long the result of a check also serves those who ask later.
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
        checks.retain(|_, check| now.duration_since(check.started_at) < CHECK_VALIDITY);
        if let Some(check) = checks.get(&key) {
            return check.result.clone();
        }
        let (sender, result) = watch::channel(None);
        let check = Check {
            started_at: now,
            result: result.clone(),
        };
        checks.insert(key, check);
        let checking = Arc::clone(gateway);
        gateway.background_tasks.spawn(async move {
            let health = run_check(&checking, notice).await;
            sender.send_replace(Some(health));
        });
        result
    }
}

/// Probes the members of a group, and notifies the leader if the group is unhealthy.
async fn run_check(gateway: &Arc<Gateway>, notice: SuspicionNotice) -> GroupHealth {
    let health = probe_group(gateway, &notice.group, notice.epoch).await;
    info!(
        instance:% = notice.head, group:% = notice.group, epoch:% = notice.epoch,
        standing:? = health;
        "silent head checked"
    );
    if health != GroupHealth::Intact {
        let notifying = Arc::clone(gateway);
        gateway
            .background_tasks
            .spawn(async move { notifying.notify_leader(notice).await });
    }
    health
}
