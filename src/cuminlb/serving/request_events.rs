//! Records the attempts and the end of one request, as events and as metrics.

use std::sync::Arc;

use cuminlb_events::{EventKind, RequestOutcome};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};

use crate::metrics::RequestMeter;
use crate::node::Node;

/// Records the events of one request, and its end exactly once, also if the caller disconnects.
pub(super) struct RequestEvents {
    node: Arc<Node>,
    request: RequestId,
    team: TeamId,
    service: ServiceId,
    meter: RequestMeter,
    attempts: u32,
    is_ended: bool,
}

impl RequestEvents {
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
            is_ended: false,
        }
    }

    /// Returns the team of the request.
    pub(super) const fn team(&self) -> &TeamId {
        &self.team
    }

    /// Returns the service that the request is for.
    pub(super) const fn service(&self) -> &ServiceId {
        &self.service
    }

    /// Records that the request was sent to a group.
    pub(super) fn record_sent(&mut self, group: &GroupId, epoch: Epoch) {
        self.attempts += 1;
        self.meter.record_sent();
        self.node.events.record(EventKind::RequestSent {
            request: self.request.clone(),
            service: self.service.clone(),
            attempt: self.attempts,
            group: group.clone(),
            epoch,
        });
    }

    /// Records the time of the first byte of the response.
    pub(super) fn record_first_byte(&mut self) {
        self.meter.record_first_byte();
    }

    /// Records that the caller has the complete response.
    pub(super) fn record_answered(&mut self) {
        self.record_first_byte();
        self.record_end(RequestOutcome::Answered, "ok", "whole answer".into());
    }

    /// Records a refusal.
    pub(super) fn record_refused(&mut self, refusal: &Refusal) {
        let outcome = match refusal.run_state {
            RunState::NotRun => RequestOutcome::NotRun,
            RunState::Unknown => RequestOutcome::Unknown,
            RunState::Ran => RequestOutcome::Answered,
        };
        self.record_end(outcome, refusal.kind.code(), refusal.kind.to_smolstr());
    }

    fn record_end(&mut self, outcome: RequestOutcome, code: &'static str, reason: SmolStr) {
        if std::mem::replace(&mut self.is_ended, true) {
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

impl Drop for RequestEvents {
    fn drop(&mut self) {
        self.record_end(
            RequestOutcome::CallerLeft,
            "caller_left",
            "the connection was closed".into(),
        );
    }
}
