//! Checks whether an instance has crashed, after a connection to it was lost.

use std::sync::Arc;

use cuminlb_peer::{GroupHealth, InstanceCheck, InstanceQuery, SuspicionNotice};
use cuminlb_routing::{CrashRecord, InstanceVerdict, LinkFailure, LinkRoute};
use cuminlb_types::prelude::*;
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
            let is_lost = gateway.is_lost(&target).await;
            if let Some(check) = guard.finish().filter(|_| is_lost) {
                gateway.handle_crash(&target, check).await;
            }
        });
    }

    /// Returns whether an instance accepts no connections or, if it is the head of a group, no longer
    /// holds its seat, and no other node finds it as it should be.
    async fn is_lost(self: &Arc<Self>, target: &Target) -> bool {
        let failure = match self.links.route(&target.instance) {
            LinkRoute::Direct => match self.try_own_link(target).await {
                Ok(is_sound) => return !is_sound,
                Err(failure) => failure,
            },
            LinkRoute::OpenOrForwarded | LinkRoute::Forwarded => LinkFailure::Refused,
        };
        let verdict = self.judge_instance(target.query(), failure).await;
        verdict == InstanceVerdict::InstanceLost
    }

    /// Returns whether an instance that this node reaches accepts connections and, if it is the head of
    /// a group, still holds its seat.
    ///
    /// # Errors
    ///
    /// Returns how the link failed if this node does not reach the instance.
    async fn try_own_link(&self, target: &Target) -> Result<bool, LinkFailure> {
        let Some((group, epoch)) = &target.group else {
            return self.accepts_connections(target).await.map(|()| true);
        };
        let directory = self.knowledge.directory();
        let Some(head) = directory.find_instance(&target.instance) else {
            return Ok(false);
        };
        let report = probe_member(self, head).await?;
        Ok(holds_seat(&report, group, *epoch))
    }

    /// Opens a connection, which later requests can use.
    ///
    /// # Errors
    ///
    /// Returns how the link failed.
    async fn accepts_connections(&self, target: &Target) -> Result<(), LinkFailure> {
        let connection = self.pool.connect_new(target.address).await;
        let connection = connection.map_err(|error| {
            let failure = error.link_failure();
            failure.unwrap_or(LinkFailure::Silent)
        })?;
        self.pool.release(connection, None);
        self.record_opened(&target.instance);
        Ok(())
    }

    /// Probes the own link to an instance and, if it does not work, judges which of both is at fault.
    pub(crate) async fn check_own_link(self: &Arc<Self>, instance: &InstanceId) {
        let directory = self.knowledge.directory();
        let Some(entry) = directory.find_instance(instance) else {
            return;
        };
        if let Err(failure) = self.probe_link(entry).await {
            let query = InstanceQuery {
                instance: instance.clone(),
                check: InstanceCheck::Responds,
            };
            self.judge_instance(query, failure).await;
        }
    }

    /// Checks the link to an instance from which nothing was received for a request in time, unless
    /// this was done just before.
    pub(super) fn check_link(self: &Arc<Self>, target: &Target) {
        let is_direct = self.links.route(&target.instance) == LinkRoute::Direct;
        if !is_direct || !self.links.begin_check(&target.instance, Instant::now()) {
            return;
        }
        let gateway = Arc::clone(self);
        let target = target.clone();
        self.background_tasks.spawn(async move {
            gateway.check_own_link(&target.instance).await;
        });
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
        self.record_found_loss(&target.instance, epoch, GroupHealth::HeadLost);
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
