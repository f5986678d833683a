//! [`Suspicion`].

use std::sync::Arc;

use cuminlb_caller::{CallTarget, CallerRequest};
use cuminlb_events::EventKind;
use cuminlb_routing::{Crash, CrashId, Refusal, RefusalKind, request_fingerprint};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{OrderError, StreamError, UpstreamError};
use futures_util::future::join_all;
use log::{debug, warn};

use super::held_slot::HeldSlot;
use super::request_trail::RequestTrail;
use super::suspect_lanes::SuspectLanes;
use crate::node::Node;

/// Watches whether one request crashes what runs it.
pub(super) struct Suspicion {
    node: Arc<Node>,
    request: RequestId,
    service: ServiceId,
    fingerprint: RequestFingerprint,
    is_model: bool,
    lanes: Arc<SuspectLanes>,
}

impl Suspicion {
    /// Watches a request; `lanes` keep the suspects of this node apart.
    pub(super) fn new(
        node: &Arc<Node>,
        trail: &RequestTrail,
        request: &CallerRequest,
        lanes: &Arc<SuspectLanes>,
    ) -> Self {
        let secret = node.settings.security.peer_token.as_str();
        let fingerprint = request_fingerprint(secret, trail.team(), trail.service(), &request.body);
        Self {
            node: Arc::clone(node),
            request: request.id.clone(),
            service: trail.service().clone(),
            fingerprint,
            is_model: matches!(request.target, CallTarget::Model(_)),
            lanes: Arc::clone(lanes),
        }
    }

    /// Refuses a request that is quarantined.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        let now_ms = UnixMillis::now();
        let quarantine = &self.node.quarantine;
        if !quarantine.is_quarantined(&self.fingerprint, now_ms) {
            return Ok(());
        }
        let fingerprint = self.fingerprint.clone();
        Err(Refusal::not_run(RefusalKind::Quarantined { fingerprint }))
    }

    /// Tells whether the request has been at a crash that counts.
    pub(super) fn is_suspect(&self) -> bool {
        let quarantine = &self.node.quarantine;
        quarantine.is_suspect(&self.fingerprint, UnixMillis::now())
    }

    /// Returns what keeps the suspects of this node apart.
    pub(super) const fn lanes(&self) -> &Arc<SuspectLanes> {
        &self.lanes
    }

    /// Notes that the request was answered.
    pub(super) fn clear(&self) {
        self.node
            .quarantine
            .clear(&self.fingerprint, UnixMillis::now());
    }

    /// Tells whether the group crashed when a try failed; if so, notes it and tells the peers.
    pub(super) async fn note_failure(&self, error: &UpstreamError, slot: &HeldSlot) -> bool {
        if !may_be_crash(error) || !self.has_crashed(slot).await {
            return false;
        }
        warn!(
            "group {} crashed at epoch {} with request {} ({})",
            slot.group(),
            slot.epoch,
            self.request,
            self.fingerprint
        );
        self.node.events.record(EventKind::GroupCrashed {
            service: self.service.clone(),
            group: slot.group().clone(),
            epoch: slot.epoch,
            request: self.request.clone(),
            fingerprint: self.fingerprint.clone(),
        });
        let id = CrashId {
            group: slot.group().clone(),
            epoch: slot.epoch,
        };
        let at_ms = UnixMillis::now();
        self.node
            .quarantine
            .record_crash(&self.fingerprint, Crash { id, at_ms });
        self.tell_peers().await;
        true
    }

    /// Tells whether the leader is gone, or has forgotten its group because it started again.
    async fn has_crashed(&self, slot: &HeldSlot) -> bool {
        match self.node.engines.report(slot.leader).await {
            Ok(report) => self.is_model && report.membership.is_none(),
            Err(error) => matches!(error, OrderError::Unreachable { .. }),
        }
    }

    /// Tells the peers before the caller can repeat the request at one of them.
    async fn tell_peers(&self) {
        let tell = async |(peer, link): (NodeId, Arc<cuminlb_peer::PeerLink>)| match link
            .exchange(self.node.statement())
            .await
        {
            Ok(statement) => self.node.take_statement(&statement),
            Err(error) => debug!("peer {peer} was not told of a crash: {error}"),
        };
        join_all(self.node.peers.all().into_iter().map(tell)).await;
    }
}

/// Tells whether a crash of the upstream could look like this.
const fn may_be_crash(error: &UpstreamError) -> bool {
    match error {
        UpstreamError::Broken { .. }
        | UpstreamError::IdleTimeout { .. }
        | UpstreamError::InvalidResponse(StreamError::Incomplete) => true,
        UpstreamError::NotSent { .. }
        | UpstreamError::RefusedNotRun { .. }
        | UpstreamError::InvalidResponse(_)
        | UpstreamError::DeadlineExceeded { .. }
        | UpstreamError::ShutDown => false,
    }
}
