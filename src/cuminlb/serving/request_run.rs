//! [`RequestRun`].

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

use super::caller_standing::CallerStanding;
use super::claims::{HeldClaim, WholeAnswer};
use super::destination::Destination;
use super::exchange::upstream_request;
use super::failed_groups::FailedGroups;
use super::held_slot::HeldSlot;
use super::open_answer::{OpenAnswer, check_id};
use super::request_trail::RequestTrail;
use super::run_bounds::RunBounds;
use super::slot_client::SlotClient;
use super::suspect_lanes::SuspectLane;
use super::suspicion::Suspicion;
use super::try_failure::TryFailure;
use crate::node::Node;

/// One request on its way: all its tries, until it has an answer or a refusal.
pub(super) struct RequestRun {
    pub(super) node: Arc<Node>,
    pub(super) admission: Arc<AdmissionControl>,
    pub(super) standing: CallerStanding,
    pub(super) request: CallerRequest,
    pub(super) destination: Destination,
    pub(super) bounds: RunBounds,
    pub(super) budget: Arc<RetryBudget>,
    pub(super) trail: RequestTrail,
    pub(super) suspicion: Suspicion,
    pub(super) failed_groups: Arc<FailedGroups>,
    pub(super) is_idempotent: bool,
    pub(super) attempts: u32,
    /// The groups at which a try was made.
    pub(super) tried_groups: Vec<GroupId>,
    pub(super) may_have_run: bool,
    /// Lets a shutdown wait for the request.
    pub(super) _in_flight: TaskTrackerToken,
}

impl RequestRun {
    /// Tries the request until the head of an answer has come.
    pub(super) async fn open(&mut self, delivered_chunks: u64) -> Result<OpenAnswer, Refusal> {
        loop {
            match self.try_once(None, delivered_chunks).await {
                Ok(answer) => return Ok(answer),
                Err(failure) => self.after_failure(failure)?,
            }
        }
    }

    /// Tries the request until a whole answer has come; `claim` is what lets it be sent.
    pub(super) async fn run_whole(
        &mut self,
        claim: &mut HeldClaim,
    ) -> Result<WholeAnswer, Refusal> {
        loop {
            let failure = match self.try_once(Some(&mut *claim), 0).await {
                Ok(answer) => match self.read_whole(answer).await {
                    Ok(whole) => return Ok(whole),
                    Err(failure) => failure,
                },
                Err(failure) => failure,
            };
            if !failure.may_have_run() {
                claim.mark_not_run();
            }
            self.after_failure(failure)?;
        }
    }

    /// Reads an answer whole and checks that it is to this request.
    pub(super) async fn read_whole(
        &self,
        mut answer: OpenAnswer,
    ) -> Result<WholeAnswer, TryFailure> {
        let idle_ms = self.node.settings.limits.stream_idle_ms;
        let whole = match answer.read_whole(idle_ms, &self.bounds).await {
            Ok(whole) => whole,
            Err(error) => {
                self.note_failure(&error, &answer.slot).await;
                return Err(error.into());
            }
        };
        if self.destination.model().is_some() {
            check_id(&whole.body, &self.request.id).map_err(UpstreamError::from)?;
        }
        self.suspicion.clear();
        Ok(whole)
    }

    /// Takes a slot and sends the request once.
    async fn try_once(
        &mut self,
        claim: Option<&mut HeldClaim>,
        delivered_chunks: u64,
    ) -> Result<OpenAnswer, TryFailure> {
        self.attempts += 1;
        let (mut slot, lane) = self.take_place().await?;
        let upstream_request = upstream_request(
            &self.request,
            &slot,
            &self.destination.path,
            self.bounds.left_ms(),
            delivered_chunks,
        )?;
        if let Some(claim) = claim {
            claim.mark_sent();
        }
        self.tried_groups.push(slot.group().clone());
        self.trail.sent(slot.group(), slot.epoch);
        let sent = self.node.upstreams.send(upstream_request);
        match self.watch(sent, &slot).await {
            Ok(response) => Ok(OpenAnswer {
                response,
                slot,
                _lane: lane,
            }),
            Err(error) => {
                if !error.may_have_run() {
                    slot.finish();
                }
                self.note_failure(&error, &slot).await;
                Err(error.into())
            }
        }
    }

    /// Takes a slot; a suspect takes it where no other suspect of this node runs.
    async fn take_place(&self) -> Result<(HeldSlot, Option<SuspectLane>), TryFailure> {
        let mut avoided = self.failed_groups.recent();
        avoided.extend_from_slice(&self.tried_groups);
        if !self.suspicion.is_suspect() {
            let slot = self.acquire_slot(&avoided).await?;
            return Ok((slot, None));
        }
        let lanes = self.suspicion.lanes();
        let groups = self.groups_without(&avoided);
        let waited = self.bounds.within(lanes.wait_for_free(&groups)).await;
        // Nothing of this try was sent yet.
        let (busy, choosing) = waited.map_err(|error| self.refusal(&error))?;
        self.suspicion.check()?;
        avoided.extend(busy);
        let slot = self.acquire_slot(&avoided).await?;
        let lane = lanes.enter(slot.group());
        drop(choosing);
        Ok((slot, Some(lane)))
    }

    fn groups_without(&self, avoided: &[GroupId]) -> Vec<GroupId> {
        let view = self.node.view.borrow();
        let groups = view.groups(&self.destination.service.id).iter();
        let groups = groups.map(|group| group.id.clone());
        groups.filter(|group| !avoided.contains(group)).collect()
    }

    async fn acquire_slot(&self, avoided: &[GroupId]) -> Result<HeldSlot, Refusal> {
        let max_wait = self.node.settings.limits.max_queue_wait_ms.duration();
        let slots = SlotClient {
            node: &self.node,
            admission: &self.admission,
            standing: &self.standing,
            prefix: PrefixKey::from_body(&self.request.body),
            service: &self.destination.service.id,
            avoided,
        };
        let deadline = (Instant::now() + max_wait).min(self.bounds.deadline());
        loop {
            let mut slot = slots.acquire(deadline).await?;
            if slot.start_use() {
                return Ok(slot);
            }
        }
    }

    /// Waits for the head of an answer as long as the upstream says that it runs the request.
    ///
    /// The question goes over a new connection, so that an open one that has gone silent is told
    /// from a slow answer. A request that can't be repeated is waited for in any case.
    async fn watch(
        &self,
        sent: impl Future<Output = Result<Response<Incoming>, UpstreamError>>,
        slot: &HeldSlot,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let idle_ms = self.node.settings.limits.stream_idle_ms;
        let mut sent = std::pin::pin!(sent);
        loop {
            let wait = tokio::time::timeout(idle_ms.duration(), sent.as_mut());
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

    /// Finds out what a failure says of the group and of the request.
    pub(super) async fn note_failure(&self, error: &UpstreamError, slot: &HeldSlot) {
        let is_unreachable = matches!(error, UpstreamError::NotSent { .. });
        if is_unreachable || self.suspicion.note_failure(error, slot).await {
            self.failed_groups.note(slot.group(), slot.epoch);
        }
    }

    /// Decides whether the request is tried again; the refusal else says whether it has run.
    pub(super) fn after_failure(&mut self, failure: TryFailure) -> Result<(), Refusal> {
        self.may_have_run |= failure.may_have_run();
        let error = match failure {
            TryFailure::Refused(refusal) => return Err(self.truthful(refusal)),
            TryFailure::Upstream(error) => error,
        };
        self.suspicion
            .check()
            .map_err(|refusal| self.truthful(refusal))?;
        let failed = FailedAttempt {
            attempts: self.attempts,
            may_have_run: error.may_have_run(),
            is_idempotent: self.is_idempotent,
        };
        if error.is_retryable() && failed.withdraw_retry(&self.budget) {
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
        self.truthful(Refusal::not_run(kind))
    }

    /// Says of a refusal that the request may have run, where any try may have.
    fn truthful(&self, mut refusal: Refusal) -> Refusal {
        if self.may_have_run {
            refusal.run_state = RunState::Unknown;
        }
        refusal
    }
}
