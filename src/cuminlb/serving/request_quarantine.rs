//! Attributes crashes of groups to a request, and refuses it while it is quarantined.

use std::sync::Arc;

use cuminlb_caller::{CallTarget, CallerRequest};
use cuminlb_events::EventKind;
use cuminlb_routing::{Crash, CrashId, Refusal, RefusalKind, request_fingerprint};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{OrderError, StreamError, UpstreamError};
use futures_util::future::join_all;
use log::{debug, warn};

use super::held_slot::HeldSlot;
use super::request_events::RequestEvents;
use super::suspect_isolation::SuspectIsolation;
use crate::node::Node;

/// The maximum number of calls by which a node finds out whether the leader of a group has crashed.
const MAX_REPORT_CALLS: u32 = 3;

/// Whether one request is suspected of crashing the groups that run it, or is quarantined for
/// that.
pub(super) struct RequestQuarantine {
    node: Arc<Node>,
    request: RequestId,
    service: ServiceId,
    fingerprint: RequestFingerprint,
    is_model: bool,
    isolation: Arc<SuspectIsolation>,
}

impl RequestQuarantine {
    /// Creates the state of a request; `isolation` keeps the suspects of this node at different
    /// groups.
    pub(super) fn new(
        node: &Arc<Node>,
        events: &RequestEvents,
        request: &CallerRequest,
        isolation: &Arc<SuspectIsolation>,
    ) -> Self {
        let secret = node.settings.security.peer_token.as_str();
        let fingerprint =
            request_fingerprint(secret, events.team(), events.service(), &request.body);
        Self {
            node: Arc::clone(node),
            request: request.id.clone(),
            service: events.service().clone(),
            fingerprint,
            is_model: matches!(request.target, CallTarget::Model(_)),
            isolation: Arc::clone(isolation),
        }
    }

    /// Refuses the request if it is quarantined.
    pub(super) fn check(&self) -> Result<(), Refusal> {
        let now_ms = UnixMillis::now();
        let quarantine = &self.node.quarantine;
        if !quarantine.is_quarantined(&self.fingerprint, now_ms) {
            return Ok(());
        }
        let fingerprint = self.fingerprint.clone();
        Err(Refusal::not_run(RefusalKind::Quarantined { fingerprint }))
    }

    /// Returns whether the request was in flight at a crash that has neither expired nor been
    /// cleared.
    pub(super) fn is_suspect(&self) -> bool {
        let quarantine = &self.node.quarantine;
        quarantine.is_suspect(&self.fingerprint, UnixMillis::now())
    }

    /// Returns the isolation of the suspects of this node from each other.
    pub(super) const fn isolation(&self) -> &Arc<SuspectIsolation> {
        &self.isolation
    }

    /// Records that the request got a response, which clears it of suspicion.
    pub(super) fn clear(&self) {
        self.node
            .quarantine
            .clear(&self.fingerprint, UnixMillis::now());
    }

    /// Returns whether the group has crashed after a failed attempt; if so, records the crash and
    /// notifies the peers.
    pub(super) async fn record_failure(&self, error: &UpstreamError, slot: &HeldSlot) -> bool {
        if !may_indicate_crash(error) || !self.has_crashed(slot).await {
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
        self.notify_peers().await;
        true
    }

    /// Returns whether the leader can't be reached, or has lost its group because it restarted.
    ///
    /// A call that gets no response may have used a connection from before the crash, so it is
    /// repeated.
    async fn has_crashed(&self, slot: &HeldSlot) -> bool {
        for _ in 0..MAX_REPORT_CALLS {
            match self.node.engines.report(slot.leader).await {
                Ok(report) => return self.is_model && report.membership.is_none(),
                Err(OrderError::Unreachable { .. }) => return true,
                Err(OrderError::NoResponse { .. }) => {}
                Err(_) => return false,
            }
        }
        false
    }

    /// Notifies the peers before the caller can retry the request at one of them.
    async fn notify_peers(&self) {
        let notify = async |(peer, link): (NodeId, Arc<cuminlb_peer::PeerLink>)| match link
            .exchange(self.node.peer_status())
            .await
        {
            Ok(status) => self.node.handle_status(&status),
            Err(error) => debug!("notifying peer {peer} of a crash failed: {error}"),
        };
        join_all(self.node.peers.all().into_iter().map(notify)).await;
    }
}

/// Returns whether a crash of the upstream could cause this error.
const fn may_indicate_crash(error: &UpstreamError) -> bool {
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
