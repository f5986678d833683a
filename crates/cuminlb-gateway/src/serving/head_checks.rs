//! Checks whether the head of a group has crashed, after a connection to it was lost.

use std::collections::HashSet;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_peer::{GroupHealth, SuspicionNotice};
use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::probe_group::{holds_seat, probe_member};
use super::target::Target;
use crate::gateway::Gateway;

/// The heads that are being checked, so that the requests which a crash breaks off at the same time
/// lead to one probe.
#[derive(Debug, Default)]
pub(crate) struct HeadChecks {
    running: Mutex<HashSet<(InstanceId, Epoch)>>,
}

impl HeadChecks {
    fn running(&self) -> MutexGuard<'_, HashSet<(InstanceId, Epoch)>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Checks the head of a group after a connection to it was lost. A single connection may break,
    /// but a process that has crashed forgets its group: such a head gets no more requests, and the
    /// leader is notified, long before its entry is gone.
    pub(super) fn check_head(self: &Arc<Self>, request: &AdmittedRequest, target: &Target) {
        let Some((group, epoch)) = target.group.clone() else {
            return;
        };
        let key = (target.instance.clone(), epoch);
        if !self.head_checks.running().insert(key.clone()) {
            return;
        }
        let notice = SuspicionNotice {
            node: self.settings.id.clone(),
            head: target.instance.clone(),
            group,
            epoch,
            silent_ms: Millis(0),
        };
        info!(
            request:% = request.head.id, instance:% = notice.head, group:% = notice.group,
            epoch:% = epoch;
            "connection to a head lost"
        );
        let gateway = Arc::clone(self);
        self.background_tasks.spawn(async move {
            gateway.run_head_check(notice).await;
            gateway.head_checks.running().remove(&key);
        });
    }

    async fn run_head_check(&self, notice: SuspicionNotice) {
        if self.holds_group(&notice).await {
            return;
        }
        self.metrics.heads_lost.inc();
        info!(
            instance:% = notice.head, group:% = notice.group, epoch:% = notice.epoch;
            "head lost"
        );
        let load = self.loads.load(&notice.head);
        load.record_group_health(notice.epoch, GroupHealth::HeadLost, Instant::now());
        self.notify_leader(notice).await;
    }

    /// Returns whether the head responds and still holds its seat in the group.
    async fn holds_group(&self, notice: &SuspicionNotice) -> bool {
        let directory = self.knowledge.directory();
        let Some(head) = directory.find_instance(&notice.head) else {
            return false;
        };
        let report = probe_member(self, head).await;
        report.is_some_and(|report| holds_seat(&report, &notice.group, notice.epoch))
    }
}
