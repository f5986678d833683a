//! Checks whether the head of a group has crashed, after a connection to it was lost.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_peer::{GroupHealth, SuspicionNotice};
use cuminlb_routing::{CrashCandidates, CrashCause};
use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::probe_group::{holds_seat, probe_member};
use super::request_stage::RequestStage;
use super::target::Target;
use crate::gateway::Gateway;

/// The heads that are being checked, so that the requests which a crash breaks off at the same time
/// lead to one probe.
#[derive(Debug, Default)]
pub(crate) struct HeadChecks {
    running: Mutex<HashMap<(InstanceId, Epoch), RunningCheck>>,
}

/// A check that is under way.
#[derive(Debug)]
struct RunningCheck {
    /// When the first connection was lost.
    lost_at: Instant,
    /// What the head was running, as far as this node knows.
    candidates: CrashCandidates,
}

impl RunningCheck {
    fn new(lost_at: Instant) -> Self {
        Self {
            lost_at,
            candidates: CrashCandidates::default(),
        }
    }

    fn add(&mut self, causes: &[CrashCause], stage: RequestStage) {
        let candidates = match stage {
            RequestStage::Waiting => &mut self.candidates.waiting,
            RequestStage::Begun => &mut self.candidates.begun,
            RequestStage::NotSent | RequestStage::Responding => return,
        };
        candidates.extend(causes.iter().cloned());
    }
}

impl HeadChecks {
    fn running(&self) -> MutexGuard<'_, HashMap<(InstanceId, Epoch), RunningCheck>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Gateway {
    /// Checks the head of a group after a connection to it was lost. A single connection may break,
    /// but a process that has crashed forgets its group: such a head gets no more requests, and the
    /// leader is notified, long before its entry is gone. What the head was running is recorded as
    /// possible causes of the crash.
    pub(super) fn check_head(
        self: &Arc<Self>,
        request: &AdmittedRequest,
        target: &Target,
        stage: RequestStage,
    ) {
        let Some((group, epoch)) = target.group.clone() else {
            return;
        };
        let key = (target.instance.clone(), epoch);
        let mut running = self.head_checks.running();
        let is_running = running.contains_key(&key);
        let check = running
            .entry(key.clone())
            .or_insert_with(|| RunningCheck::new(Instant::now()));
        check.add(&request.crash_causes, stage);
        drop(running);
        if is_running {
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
            let is_alive = gateway.holds_group(&notice).await;
            let check = gateway.head_checks.running().remove(&key);
            if let Some(check) = check.filter(|_| !is_alive) {
                gateway.handle_lost_head(notice, check).await;
            }
        });
    }

    async fn handle_lost_head(&self, notice: SuspicionNotice, check: RunningCheck) {
        self.metrics.heads_lost.inc();
        let suspects = check.candidates.suspects();
        info!(
            instance:% = notice.head, group:% = notice.group, epoch:% = notice.epoch,
            suspects = suspects.len();
            "head lost"
        );
        let load = self.loads.load(&notice.head);
        load.record_group_health(notice.epoch, GroupHealth::HeadLost, Instant::now());
        let RunningCheck {
            lost_at,
            candidates,
        } = check;
        self.crash_board
            .record_crash(&notice.head, &candidates, lost_at);
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
