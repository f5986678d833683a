//! [`RequestTrail`].

use std::sync::Arc;

use cuminlb_events::{EventKind, RequestOutcome};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};

use crate::metrics::RequestMeter;
use crate::node::Node;

/// Records the end of one request exactly once, also when the caller leaves.
pub(super) struct RequestTrail {
    node: Arc<Node>,
    request: RequestId,
    team: TeamId,
    service: ServiceId,
    meter: RequestMeter,
    attempts: u32,
    ended: bool,
}

impl RequestTrail {
    pub(super) fn new(
        node: Arc<Node>,
        request: RequestId,
        team: TeamId,
        service: ServiceId,
    ) -> Self {
        let meter = node.metrics.requests.start(&team, &service);
        Self {
            node,
            request,
            team,
            service,
            meter,
            attempts: 0,
            ended: false,
        }
    }

    /// Returns the team.
    pub(super) const fn team(&self) -> &TeamId {
        &self.team
    }

    /// Returns the service.
    pub(super) const fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Records that the request was sent to a group.
    pub(super) fn sent(&mut self, group: &GroupId, epoch: Epoch) {
        self.attempts += 1;
        self.meter.sent();
        self.node.events.record(EventKind::RequestSent {
            request: self.request.clone(),
            service: self.service.clone(),
            attempt: self.attempts,
            group: group.clone(),
            epoch,
        });
    }

    /// Notes the first byte of the answer.
    pub(super) fn first_byte(&mut self) {
        self.meter.first_byte();
    }

    /// Records that the caller has the whole answer.
    pub(super) fn answered(&mut self) {
        self.first_byte();
        self.end(RequestOutcome::Answered, "ok", "whole answer".into());
    }

    /// Records a refusal.
    pub(super) fn refused(&mut self, refusal: &Refusal) {
        let outcome = match refusal.run_state {
            RunState::NotRun => RequestOutcome::NotRun,
            RunState::Unknown => RequestOutcome::Unknown,
            RunState::Ran => RequestOutcome::Answered,
        };
        self.end(outcome, refusal.kind.code(), refusal.kind.to_smolstr());
    }

    fn end(&mut self, outcome: RequestOutcome, code: &'static str, reason: SmolStr) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.node.events.record(EventKind::RequestEnded {
            request: self.request.clone(),
            team: self.team.clone(),
            service: self.service.clone(),
            outcome,
            code: code.into(),
            reason,
        });
    }
}

impl Drop for RequestTrail {
    fn drop(&mut self) {
        self.end(
            RequestOutcome::CallerLeft,
            "caller_left",
            "the connection was closed".into(),
        );
    }
}
