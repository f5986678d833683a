//! [`RequestTrail`].

use std::sync::Arc;

use cuminlb_events::{EventKind, RequestOutcome};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};

use crate::node::Node;

/// Records the end of one request exactly once, also when the caller leaves.
pub(super) struct RequestTrail {
    node: Arc<Node>,
    request: RequestId,
    team: TeamId,
    service: ServiceId,
    ended: bool,
}

impl RequestTrail {
    pub(super) const fn new(
        node: Arc<Node>,
        request: RequestId,
        team: TeamId,
        service: ServiceId,
    ) -> Self {
        Self {
            node,
            request,
            team,
            service,
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
    pub(super) fn sent(&self, group: &GroupId, epoch: Epoch) {
        let (request, group) = (self.request.clone(), group.clone());
        self.node.events.record(EventKind::RequestSent {
            request,
            group,
            epoch,
        });
    }

    /// Records that the caller has the whole answer.
    pub(super) fn answered(&mut self) {
        self.end(RequestOutcome::Answered, "whole answer".into());
    }

    /// Records a refusal.
    pub(super) fn refused(&mut self, refusal: &Refusal) {
        let outcome = match refusal.run_state {
            RunState::NotRun => RequestOutcome::NotRun,
            RunState::Unknown => RequestOutcome::Unknown,
            RunState::Ran => RequestOutcome::Answered,
        };
        self.end(outcome, refusal.kind.to_smolstr());
    }

    fn end(&mut self, outcome: RequestOutcome, reason: SmolStr) {
        if std::mem::replace(&mut self.ended, true) {
            return;
        }
        self.node.events.record(EventKind::RequestEnded {
            request: self.request.clone(),
            team: self.team.clone(),
            service: self.service.clone(),
            outcome,
            reason,
        });
    }
}

impl Drop for RequestTrail {
    fn drop(&mut self) {
        self.end(
            RequestOutcome::CallerLeft,
            "the connection was closed".into(),
        );
    }
}
