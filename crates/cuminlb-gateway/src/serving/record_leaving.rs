//! Handles instances that state in a response that they leave.

use std::sync::Arc;

use cuminlb_catalog::{InstanceEntry, InstanceReport, ResponseHead};
use cuminlb_peer::SuspicionNotice;
use cuminlb_types::prelude::*;

use super::target::Target;
use crate::gateway::Gateway;

impl Gateway {
    /// Stops sending new requests to an instance whose response to a request states that it leaves.
    /// If it is the head of a group, has the leader probe the group, so that the leader learns it too
    /// and replaces the group.
    pub(super) fn record_leaving(self: &Arc<Self>, target: &Target, head: &ResponseHead) {
        if !head.is_leaving
            || !self
                .knowledge
                .record_leaving(&target.instance, target.incarnation)
        {
            return;
        }
        let Some((group, epoch)) = target.group.clone() else {
            return;
        };
        let notice = SuspicionNotice {
            node: self.settings.id.clone(),
            head: target.instance.clone(),
            group,
            epoch,
            silent_ms: Millis(0),
        };
        let gateway = Arc::clone(self);
        self.background_tasks
            .spawn(async move { gateway.notify_leader(notice).await });
    }

    /// Stops sending new requests to an instance whose report states that it leaves.
    pub(crate) fn record_report(&self, entry: &InstanceEntry, report: &InstanceReport) {
        if report.is_leaving {
            let incarnation = match report.incarnation {
                Incarnation(0) => entry.incarnation,
                stated => stated,
            };
            self.knowledge.record_leaving(&entry.id, incarnation);
        }
    }
}
