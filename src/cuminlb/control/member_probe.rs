//! [`MemberProbe`].

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
    /// Prepares probes.
    pub(super) const fn new(node: &'a Node, owned: &'a OwnedGroup) -> Self {
        Self { node, owned }
    }

    /// Asks a member for its report, and orders it to join where it is not in the group.
    pub(super) async fn run(&self, member: &InstanceId) -> ProbeOutcome {
        let Some(address) = self.address(member) else {
            return ProbeOutcome::Silent;
        };
        let sent_at = Instant::now();
        let report = match self.node.engines.report(address).await {
            Ok(report) => report,
            Err(error) => {
                debug!(
                    "member {member} of group {} gave no report: {error}",
                    self.owned.record.id
                );
                return failed_probe(&error);
            }
        };
        if !self.owned.record.is_incarnation(member, report.incarnation) {
            return ProbeOutcome::Restarted;
        }
        if self.is_model() && !is_member(&report, &self.owned.record) {
            self.order_join(address, member).await;
            return ProbeOutcome::Joining;
        }
        if sent_at < self.trusted_from() {
            return ProbeOutcome::Joining;
        }
        self.note_proof(member, sent_at, &report);
        ProbeOutcome::Proved {
            sent_at,
            took: sent_at.elapsed(),
        }
    }

    /// Returns the time from which a report is trusted.
    ///
    /// An engine that ignores fencing numbers may still execute an order of an earlier owner or
    /// epoch that is on its way. Such an order has ended after the time that one order may take;
    /// then the report is true, or the member is ordered to join again.
    pub(super) fn trusted_from(&self) -> Instant {
        let order_timeout_ms = self.node.settings.control.proof_max_age_ms;
        match self.spec().map(|spec| (spec.kind, spec.fencing)) {
            Some((ServiceKind::Model(_), FencingSupport::Ignored)) => {
                self.owned.owned_since + order_timeout_ms.duration()
            }
            _ => self.owned.owned_since,
        }
    }

    fn note_proof(&self, member: &InstanceId, sent_at: Instant, report: &EngineReport) {
        let max_age_ms = self.node.settings.control.proof_max_age_ms;
        let was_serving = self.owned.is_serving(Instant::now(), max_age_ms);
        let proof = Proof {
            at: sent_at,
            incarnation: report.incarnation,
            warm: report.warm,
            running: report.running,
            withdrawn: false,
        };
        self.owned.note_proof(member, proof);
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
                "member {member} did not join group {}: {error}",
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

fn failed_probe(error: &OrderError) -> ProbeOutcome {
    match error {
        OrderError::Unreachable { .. } => ProbeOutcome::Refused,
        OrderError::NoResponse { .. }
        | OrderError::Fenced
        | OrderError::Refused { .. }
        | OrderError::Malformed { .. } => ProbeOutcome::Silent,
    }
}

fn is_member(report: &EngineReport, record: &GroupRecord) -> bool {
    let is_this =
        |membership: &Membership| membership.group == record.id && membership.epoch == record.epoch;
    report.membership.as_ref().is_some_and(is_this)
}
