//! Checks whether an instance has crashed, after a connection to it was lost.

use std::sync::Arc;

use cuminlb_peer::{GroupHealth, SuspicionNotice};
use cuminlb_routing::CrashRecord;
use log::info;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::probe_group::{holds_seat, probe_member};
use super::request_stage::RequestStage;
use super::running_check::RunningCheck;
use super::running_check_guard::RunningCheckGuard;
use super::target::Target;
use crate::gateway::Gateway;

impl Gateway {
    /// Checks an instance after a connection to it was lost. A single connection may break, but a
    /// process that has crashed refuses connections, or has forgotten its group: it gets no more
    /// requests long before its entry is gone, and the leader is notified if it was the head of a group.
    /// What it was running is recorded as possible causes of the crash.
    pub(super) fn check_instance(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        target: &Target,
        stage: RequestStage,
    ) {
        let key = (target.instance.clone(), target.epoch());
        let mut running = self.instance_checks.running();
        let is_running = running.contains_key(&key);
        let check = running
            .entry(key.clone())
            .or_insert_with(|| RunningCheck::new(Instant::now()));
        check.add(&request.crash_causes, stage);
        drop(running);
        if is_running {
            return;
        }
        info!(
            request:% = request.head.id, instance:% = target.instance, epoch:% = target.epoch();
            "connection to an instance lost"
        );
        let gateway = Arc::clone(self);
        let target = target.clone();
        let guard = RunningCheckGuard::new(Arc::clone(self), key);
        self.background_tasks.spawn(async move {
            let is_alive = gateway.is_alive(&target).await;
            if let Some(check) = guard.finish().filter(|_| !is_alive) {
                gateway.handle_crash(&target, check).await;
            }
        });
    }

    /// Returns whether an instance accepts connections and, if it is the head of a group, still holds
    /// its seat.
    async fn is_alive(&self, target: &Target) -> bool {
        let Some((group, epoch)) = &target.group else {
            return self.accepts_connections(target).await;
        };
        let directory = self.knowledge.directory();
        let Some(head) = directory.find_instance(&target.instance) else {
            return false;
        };
        let report = probe_member(self, head).await;
        report.is_some_and(|report| holds_seat(&report, group, *epoch))
    }

    /// Opens a connection, which later requests can use.
    async fn accepts_connections(&self, target: &Target) -> bool {
        let connection = self.pool.connect_new(target.address).await;
        let is_open = connection.is_ok();
        if let Ok(connection) = connection {
            self.pool.release(connection, None);
        }
        is_open
    }

    async fn handle_crash(&self, target: &Target, check: RunningCheck) {
        self.metrics.crashes.inc();
        let RunningCheck {
            lost_at,
            candidates,
        } = check;
        info!(
            instance:% = target.instance, epoch:% = target.epoch(),
            suspects = candidates.suspects().len();
            "instance has crashed"
        );
        self.crash_board.record_crash(CrashRecord {
            instance: target.instance.clone(),
            epoch: target.epoch(),
            at: lost_at,
            candidates,
        });
        let load = self.loads.load(&target.instance);
        let now = Instant::now();
        let Some((group, epoch)) = target.group.clone() else {
            load.suspect(target.epoch(), now);
            return;
        };
        load.record_group_health(epoch, GroupHealth::HeadLost, now);
        let notice = SuspicionNotice {
            node: self.settings.id.clone(),
            head: target.instance.clone(),
            group,
            epoch,
            silent_ms: now.duration_since(lost_at).into(),
        };
        self.notify_leader(notice).await;
    }
}
