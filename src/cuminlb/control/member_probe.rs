//! Probes a member of an owned group and orders it to join where necessary.

use std::net::SocketAddr;

use cuminlb_config::{FencingSupport, ServiceKind, ServiceSpec};
use cuminlb_events::EventKind;
use cuminlb_fleet::rows::GroupRecord;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EngineOrder, EngineReport, GroupMember, Membership, OrderError, OrderKind};
use log::debug;
use tokio::time::Instant;

use super::probe_outcome::ProbeOutcome;
use crate::node::{Node, OwnedGroup, Proof};

/// Probes the members of one owned group at one epoch.
pub(super) struct MemberProbe<'a> {
    node: &'a Node,
    owned: &'a OwnedGroup,
}

impl<'a> MemberProbe<'a> {
    /// Creates a prober for the members of `owned`.
    pub(super) const fn new(node: &'a Node, owned: &'a OwnedGroup) -> Self {
        Self { node, owned }
    }

    /// Requests a member's report, and orders the member to join if it is not in the group.
    pub(super) async fn run(&self, member: &InstanceId) -> ProbeOutcome {
        let Some(address) = self.address(member) else {
            return ProbeOutcome::Silent;
        };
        let sent_at = Instant::now();
        let report = match self.node.engines.report(address).await {
            Ok(report) => report,
            Err(error) => {
                debug!(
                    "failed to probe member {member} of group {}: {error}",
                    self.owned.record.id
                );
                return classify_failure(&error);
            }
        };
        if !self
            .owned
            .record
            .has_incarnation(member, report.incarnation)
        {
            return ProbeOutcome::Restarted;
        }
        if self.is_model() && !is_member(&report, &self.owned.record) {
            self.order_join(address, member).await;
            return ProbeOutcome::Joining;
        }
        if sent_at < self.trusted_from() {
            return ProbeOutcome::Joining;
        }
        self.record_proof(member, sent_at, &report);
        ProbeOutcome::Proved {
            sent_at,
            took: sent_at.elapsed(),
        }
    }

    /// Returns the earliest send time of a probe whose report is trusted.
    ///
    /// An engine that ignores fencing numbers may still execute an order of an earlier owner or
    /// epoch that is in flight. No such order is left after the timeout of one order; from then on
    /// the report is correct, or the member is ordered to join again.
    pub(super) fn trusted_from(&self) -> Instant {
        let order_timeout_ms = self.node.settings.control.proof_max_age_ms;
        match self.spec().map(|spec| (spec.kind, spec.fencing)) {
            Some((ServiceKind::Model(_), FencingSupport::Ignored)) => {
                self.owned.owned_since + order_timeout_ms.duration()
            }
            _ => self.owned.owned_since,
        }
    }

    /// Stores a proof of the member, and records an event when the group starts to serve.
    fn record_proof(&self, member: &InstanceId, sent_at: Instant, report: &EngineReport) {
        let max_age_ms = self.node.settings.control.proof_max_age_ms;
        let was_serving = self.owned.is_serving(Instant::now(), max_age_ms);
        let proof = Proof {
            sent_at,
            incarnation: report.incarnation,
            warm: report.warm,
            running: report.running,
            withdrawn: false,
        };
        self.owned.record_proof(member, proof);
        if !was_serving && self.owned.is_serving(Instant::now(), max_age_ms) {
            let group = self.owned.record.id.clone();
            let epoch = self.owned.record.epoch;
            self.node.events.record(EventKind::GroupServing {
                service: self.owned.service.clone(),
                group,
                epoch,
            });
        }
    }

    /// Orders a member to join the group while the lease is valid. A failed order is sent again
    /// after the next probe.
    async fn order_join(&self, address: SocketAddr, member: &InstanceId) {
        let held = self.owned.lease();
        if !self.node.is_lease_valid(&held) {
            return;
        }
        let members = self.owned.record.members.iter().filter_map(|instance| {
            let address = self.address(instance)?;
            Some(GroupMember {
                instance: instance.clone(),
                address,
            })
        });
        let order = EngineOrder {
            fencing: self.owned.record.order_fencing(held.fencing),
            kind: OrderKind::Join {
                membership: Membership {
                    group: self.owned.record.id.clone(),
                    epoch: self.owned.record.epoch,
                },
                members: members.collect(),
            },
        };
        if let Err(error) = self.node.engines.order(address, &order).await {
            debug!(
                "the order to member {member} to join group {} failed: {error}",
                self.owned.record.id
            );
        }
    }

    fn spec(&self) -> Option<ServiceSpec> {
        self.node
            .view
            .borrow()
            .service(&self.owned.service)
            .cloned()
    }

    fn is_model(&self) -> bool {
        let spec = self.spec();
        spec.is_some_and(|spec| matches!(spec.kind, ServiceKind::Model(_)))
    }

    fn address(&self, member: &InstanceId) -> Option<SocketAddr> {
        let view = self.node.view.borrow();
        view.instance(member).map(|record| record.address)
    }
}

fn classify_failure(error: &OrderError) -> ProbeOutcome {
    match error {
        OrderError::Unreachable { .. } => ProbeOutcome::Refused,
        OrderError::NoResponse { .. }
        | OrderError::Fenced
        | OrderError::Refused { .. }
        | OrderError::Malformed { .. } => ProbeOutcome::Silent,
    }
}

fn is_member(report: &EngineReport, record: &GroupRecord) -> bool {
    let is_current =
        |membership: &Membership| membership.group == record.id && membership.epoch == record.epoch;
    report.membership.as_ref().is_some_and(is_current)
}
