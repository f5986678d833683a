//! The attempts to run one request, with the rules for retries and for what a refusal states.

use std::sync::Arc;

use cuminlb_caller::CallerRequest;
use cuminlb_routing::{
    AdmissionControl, FailedAttempt, PrefixKey, Refusal, RefusalKind, RetryBudget, RunState,
};
use cuminlb_types::prelude::*;
use cuminlb_upstream::UpstreamError;
use http::Response;
use hyper::body::Incoming;
use smol_str::ToSmolStr;
use tokio::time::Instant;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::attempt_failure::AttemptFailure;
use super::caller_context::CallerContext;
use super::claims::{CompleteResponse, HeldClaim};
use super::destination::Destination;
use super::failed_groups::FailedGroups;
use super::held_slot::HeldSlot;
use super::open_response::{OpenResponse, check_request_id};
use super::request_events::RequestEvents;
use super::request_quarantine::RequestQuarantine;
use super::run_bounds::RunBounds;
use super::slot_client::SlotClient;
use super::suspect_isolation::IsolationGuard;
use super::upstream_request::build_upstream_request;
use crate::node::Node;

/// One request in flight: all its attempts, until it ends with a response or a refusal.
pub(super) struct RequestRun {
    pub(super) node: Arc<Node>,
    pub(super) admission: Arc<AdmissionControl>,
    pub(super) caller: CallerContext,
    pub(super) request: CallerRequest,
    pub(super) destination: Destination,
    pub(super) bounds: RunBounds,
    pub(super) budget: Arc<RetryBudget>,
    pub(super) events: RequestEvents,
    pub(super) quarantine: RequestQuarantine,
    pub(super) failed_groups: Arc<FailedGroups>,
    pub(super) is_idempotent: bool,
    pub(super) attempts: u32,
    /// The groups to which an attempt was sent.
    pub(super) attempted_groups: Vec<GroupId>,
    /// Whether the request may have run in any attempt.
    pub(super) may_have_run: bool,
    /// Makes a shutdown wait for the request.
    pub(super) _in_flight: TaskTrackerToken,
}

impl RequestRun {
    /// Sends the request, with retries, until the head of a response arrives.
    pub(super) async fn open_response(
        &mut self,
        delivered_chunks: u64,
    ) -> Result<OpenResponse, Refusal> {
        loop {
            match self.attempt_once(None, delivered_chunks).await {
                Ok(response) => return Ok(response),
                Err(failure) => self.handle_failure(failure)?,
            }
        }
    }

    /// Sends the request, with retries, until a complete response arrives; `claim` is the right
    /// to send it.
    pub(super) async fn run_claimed(
        &mut self,
        claim: &mut HeldClaim,
    ) -> Result<CompleteResponse, Refusal> {
        loop {
            let failure = match self.attempt_once(Some(&mut *claim), 0).await {
                Ok(response) => match self.read_complete(response).await {
                    Ok(complete) => return Ok(complete),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if !failure.may_have_run() {
                claim.mark_not_run();
            }
            self.handle_failure(failure)?;
        }
    }

    /// Reads a response to its end, and checks that it belongs to this request.
    pub(super) async fn read_complete(
        &self,
        mut response: OpenResponse,
    ) -> Result<CompleteResponse, AttemptFailure> {
        let idle_ms = self.node.settings.limits.stream_idle_ms;
        let complete = match response.read_complete(idle_ms, &self.bounds).await {
            Ok(complete) => complete,
            Err(error) => {
                self.record_failure(&error, &response.slot).await;
                return Err(error.into());
            }
        };
        if self.destination.model().is_some() {
            check_request_id(&complete.body, &self.request.id).map_err(UpstreamError::from)?;
        }
        self.quarantine.clear();
        Ok(complete)
    }

    /// Acquires a slot and sends the request once.
    async fn attempt_once(
        &mut self,
        claim: Option<&mut HeldClaim>,
        delivered_chunks: u64,
    ) -> Result<OpenResponse, AttemptFailure> {
        self.attempts += 1;
        let (mut slot, isolation_guard) = self.acquire_isolated_slot().await?;
        let upstream_request = build_upstream_request(
            &self.request,
            &slot,
            &self.destination.path,
            self.bounds.remaining_ms(),
            delivered_chunks,
        )?;
        if let Some(claim) = claim {
            claim.mark_sent();
        }
        self.attempted_groups.push(slot.group().clone());
        self.events.record_sent(slot.group(), slot.epoch);
        let sending = self.node.upstreams.send(upstream_request);
        match self.await_response(sending, &slot).await {
            Ok(http_response) => Ok(OpenResponse {
                http_response,
                slot,
                _isolation_guard: isolation_guard,
            }),
            Err(error) => {
                if !error.may_have_run() {
                    slot.finish();
                }
                self.record_failure(&error, &slot).await;
                Err(error.into())
            }
        }
    }

    /// Acquires a slot; a suspect gets it at a group where no other suspect runs. This node keeps its
    /// own suspects apart, and the owner of the group those of different nodes.
    async fn acquire_isolated_slot(
        &self,
    ) -> Result<(HeldSlot, Option<IsolationGuard>), AttemptFailure> {
        let mut avoided = self.failed_groups.recent();
        avoided.extend_from_slice(&self.attempted_groups);
        if !self.quarantine.is_suspect() {
            let slot = self.acquire_slot(&avoided).await?;
            return Ok((slot, None));
        }
        let isolation = self.quarantine.isolation();
        let groups = self.groups_except(&avoided);
        let waited = self
            .bounds
            .within(isolation.wait_for_free_group(&groups))
            .await;
        // Nothing was sent in this attempt yet.
        let (occupied, choice_guard) = waited.map_err(|error| self.refusal(&error))?;
        self.quarantine.check()?;
        avoided.extend(occupied);
        let slot = self.acquire_slot(&avoided).await?;
        let isolation_guard = isolation.isolate(slot.group());
        drop(choice_guard);
        Ok((slot, Some(isolation_guard)))
    }

    fn groups_except(&self, avoided: &[GroupId]) -> Vec<GroupId> {
        let view = self.node.view.borrow();
        let groups = view.groups(&self.destination.service.id).iter();
        let groups = groups.map(|group| group.id.clone());
        groups.filter(|group| !avoided.contains(group)).collect()
    }

    async fn acquire_slot(&self, avoided: &[GroupId]) -> Result<HeldSlot, Refusal> {
        let max_wait = self.node.settings.limits.max_queue_wait_ms.duration();
        let client = SlotClient {
            node: &self.node,
            admission: &self.admission,
            caller: &self.caller,
            prefix: PrefixKey::from_body(&self.request.body),
            service: &self.destination.service.id,
            is_suspect: self.quarantine.is_suspect(),
            avoided,
        };
        let deadline = (Instant::now() + max_wait).min(self.bounds.deadline());
        loop {
            let mut slot = client.acquire(deadline).await?;
            if slot.try_mark_sent() {
                return Ok(slot);
            }
        }
    }

    /// Waits for the head of a response as long as the upstream reports that the request runs.
    ///
    /// The probe uses a new connection, to distinguish a stalled connection from a slow response.
    /// A request that is not idempotent can't be retried, so it is waited for without a probe.
    async fn await_response(
        &self,
        sending: impl Future<Output = Result<Response<Incoming>, UpstreamError>>,
        slot: &HeldSlot,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let idle_ms = self.node.settings.limits.stream_idle_ms;
        let mut sending = std::pin::pin!(sending);
        loop {
            let wait = tokio::time::timeout(idle_ms.duration(), sending.as_mut());
            if let Ok(response) = self.bounds.within(wait).await? {
                return response;
            }
            let probe = self
                .node
                .upstreams
                .is_running(slot.leader, &self.request.id);
            if self.is_idempotent && !self.bounds.within(probe).await? {
                return Err(UpstreamError::IdleTimeout { idle_ms });
            }
        }
    }

    /// Records what a failure implies for the group and for the request: a group that was
    /// unreachable or crashed is avoided, and a crash makes the request a suspect.
    pub(super) async fn record_failure(&self, error: &UpstreamError, slot: &HeldSlot) {
        let is_unreachable = matches!(error, UpstreamError::NotSent { .. });
        if is_unreachable || self.quarantine.record_failure(error, slot).await {
            self.failed_groups.record(slot.group(), slot.epoch);
        }
    }

    /// Decides whether the request is retried; if not, the refusal states whether it may have run.
    pub(super) fn handle_failure(&mut self, failure: AttemptFailure) -> Result<(), Refusal> {
        self.may_have_run |= failure.may_have_run();
        let error = match failure {
            AttemptFailure::Refused(refusal) => return Err(self.with_known_run_state(refusal)),
            AttemptFailure::Upstream(error) => error,
        };
        self.quarantine
            .check()
            .map_err(|refusal| self.with_known_run_state(refusal))?;
        let failed_attempt = FailedAttempt {
            attempts: self.attempts,
            may_have_run: error.may_have_run(),
            is_idempotent: self.is_idempotent,
        };
        if error.is_retryable() && failed_attempt.withdraw_retry(&self.budget) {
            return Ok(());
        }
        Err(self.refusal(&error))
    }

    /// Returns the refusal for a failure that ends the request.
    pub(super) fn refusal(&self, error: &UpstreamError) -> Refusal {
        let kind = match error {
            UpstreamError::DeadlineExceeded { timeout_ms } => RefusalKind::DeadlineExceeded {
                timeout_ms: *timeout_ms,
            },
            UpstreamError::ShutDown => RefusalKind::Draining,
            other => RefusalKind::UpstreamFailed {
                reason: other.to_smolstr(),
            },
        };
        self.with_known_run_state(Refusal::not_run(kind))
    }

    /// Sets the run state of a refusal to unknown if the request may have run in any attempt.
    fn with_known_run_state(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.run_state = RunState::Unknown;
        }
        refusal
    }
}
