//! [`Router`].

use std::sync::Arc;

use cuminlb_caller::{CallerHandler, CallerRequest, CallerResponse};
use cuminlb_config::{ApiKeyDigest, TeamSpec};
use cuminlb_routing::{AdmissionControl, AdmissionLimits, AdmissionPermit, Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::caller_standing::CallerStanding;
use super::claimed_request::run_claimed_request;
use super::claims::{ClaimClient, WholeAnswer};
use super::destination::Destination;
use super::exchange::answer_headers;
use super::failed_groups::FailedGroups;
use super::priority_header::priority;
use super::request_run::RequestRun;
use super::request_trail::RequestTrail;
use super::retry_budgets::RetryBudgets;
use super::run_bounds::RunBounds;
use super::stream_relay::StreamRelay;
use super::suspect_lanes::SuspectLanes;
use super::suspicion::Suspicion;
use crate::node::Node;

/// Leads callers' requests to upstreams.
#[derive(Clone)]
pub struct Router {
    node: Arc<Node>,
    admission: Arc<AdmissionControl>,
    budgets: RetryBudgets,
    claims: ClaimClient,
    lanes: Arc<SuspectLanes>,
    failed_groups: Arc<FailedGroups>,
    /// The requests in flight; those that are claimed go on when their callers leave.
    in_flight: TaskTracker,
    /// Cancelled when the node takes no new requests any more.
    closed: CancellationToken,
    /// Cancelled when the time for the requests in flight is over.
    cutoff: CancellationToken,
}

impl Router {
    /// Routes for a node; new requests are refused once `closed` is cancelled.
    pub fn new(node: Arc<Node>, claims: ClaimClient, closed: CancellationToken) -> Self {
        let limits = AdmissionLimits {
            max_waiting: node.settings.limits.max_queued,
        };
        Self {
            admission: Arc::new(AdmissionControl::new(&limits)),
            budgets: RetryBudgets::default(),
            claims,
            lanes: Arc::default(),
            failed_groups: Arc::default(),
            in_flight: TaskTracker::new(),
            closed,
            cutoff: CancellationToken::new(),
            node,
        }
    }

    /// Ends the requests in flight with the truth about them.
    pub fn cut_off(&self) {
        self.cutoff.cancel();
    }

    /// Waits until no request is in flight.
    pub async fn join(&self) {
        self.in_flight.close();
        self.in_flight.wait().await;
    }

    async fn route(&self, request: CallerRequest) -> Result<CallerResponse, Refusal> {
        let resolved = self.resolve(&request);
        let (team, destination) =
            resolved.inspect_err(|refusal| self.note_rejected(&request.id, refusal))?;
        let service = destination.service.id.clone();
        let node = Arc::clone(&self.node);
        let mut trail = RequestTrail::new(node, request.id.clone(), team.id.clone(), service);
        // Counted before the check, so that a shutdown waits for what passes it.
        let in_flight = self.in_flight.token();
        let live_nodes = self.node.view.borrow().nodes().iter().count();
        let admitted = self
            .check_state()
            .and_then(|()| priority(&request.headers))
            .and_then(|priority| Ok((priority, self.admission.admit(&team, live_nodes)?)));
        match admitted {
            Ok((priority, permit)) => {
                let standing = CallerStanding { team, priority };
                let run = self.start(request, standing, destination, trail, in_flight);
                self.answer(run, permit).await
            }
            Err(refusal) => {
                trail.refused(&refusal);
                Err(refusal)
            }
        }
    }

    /// Finds the team by the key and the service by the model or the path.
    fn resolve(&self, request: &CallerRequest) -> Result<(TeamSpec, Destination), Refusal> {
        let view = self.node.view.borrow();
        let not_run = |kind| Refusal::not_run(kind);
        let spec = view
            .spec()
            .ok_or_else(|| not_run(RefusalKind::ConfigUnconfirmed))?;
        let digest = request.api_key.as_deref().map(ApiKeyDigest::of_key);
        let team = spec.teams.iter().find(|team| Some(team.api_key) == digest);
        let team = team
            .cloned()
            .ok_or_else(|| not_run(RefusalKind::Unauthenticated))?;
        Ok((team, Destination::find(spec, request)?))
    }

    fn check_state(&self) -> Result<(), Refusal> {
        if self.closed.is_cancelled() {
            return Err(Refusal::not_run(RefusalKind::Draining));
        }
        if !self.node.is_config_confirmed() {
            return Err(Refusal::not_run(RefusalKind::ConfigUnconfirmed));
        }
        Ok(())
    }

    fn start(
        &self,
        request: CallerRequest,
        standing: CallerStanding,
        destination: Destination,
        trail: RequestTrail,
        in_flight: TaskTrackerToken,
    ) -> RequestRun {
        let longest_ms = self.node.settings.limits.request_timeout_ms;
        let timeout_ms = request
            .timeout_ms
            .map_or(longest_ms, |timeout_ms| timeout_ms.min(longest_ms));
        let suspicion = Suspicion::new(&self.node, &trail, &request, &self.lanes);
        RequestRun {
            node: Arc::clone(&self.node),
            suspicion,
            failed_groups: Arc::clone(&self.failed_groups),
            bounds: RunBounds::new(timeout_ms, self.cutoff.clone()),
            budget: self.budgets.first_try(&destination.service.id),
            is_idempotent: destination.is_idempotent(&request),
            admission: Arc::clone(&self.admission),
            standing,
            request,
            destination,
            trail,
            attempts: 0,
            tried_groups: Vec::new(),
            may_have_run: false,
            _in_flight: in_flight,
        }
    }

    async fn answer(
        &self,
        run: RequestRun,
        permit: AdmissionPermit,
    ) -> Result<CallerResponse, Refusal> {
        if run.is_idempotent {
            return answer_idempotent(run, permit).await;
        }
        let claims = self.claims.clone();
        let task = self.in_flight.spawn(async move {
            let answer = run_claimed_request(run, &claims).await;
            drop(permit);
            answer
        });
        match task.await {
            Ok(answer) => answer.map(whole_answer),
            // Only a panic ends the task early; the claim was then settled as it was dropped.
            Err(_) => Err(Refusal::unknown(RefusalKind::OutcomeUnknown)),
        }
    }
}

async fn answer_idempotent(
    mut run: RequestRun,
    permit: AdmissionPermit,
) -> Result<CallerResponse, Refusal> {
    let answer = try_until_answered(&mut run).await;
    match answer {
        Ok(Answered::Complete(answer)) => {
            run.trail.answered();
            Ok(whole_answer(answer))
        }
        Ok(Answered::Stream(answer)) => {
            let status = answer.response.status();
            let headers = answer_headers(answer.response.headers());
            let items = StreamRelay::new(run, answer, permit).into_items();
            Ok(CallerResponse::Stream {
                status,
                headers,
                items,
            })
        }
        Err(refusal) => {
            run.trail.refused(&refusal);
            Err(refusal)
        }
    }
}

enum Answered {
    Complete(WholeAnswer),
    Stream(super::open_answer::OpenAnswer),
}

async fn try_until_answered(run: &mut RequestRun) -> Result<Answered, Refusal> {
    loop {
        let answer = run.open(0).await?;
        if answer.is_stream() {
            return Ok(Answered::Stream(answer));
        }
        match run.read_whole(answer).await {
            Ok(whole) => return Ok(Answered::Complete(whole)),
            Err(failure) => run.after_failure(failure)?,
        }
    }
}

fn whole_answer(answer: WholeAnswer) -> CallerResponse {
    CallerResponse::Complete {
        status: answer.status,
        headers: answer.headers,
        body: answer.body,
    }
}

impl CallerHandler for Router {
    async fn handle(&self, request: CallerRequest) -> CallerResponse {
        self.route(request)
            .await
            .unwrap_or_else(CallerResponse::Refused)
    }

    fn note_rejected(&self, request: &RequestId, refusal: &Refusal) {
        self.node.note_rejected(request, refusal);
    }

    fn new_request_id(&self) -> RequestId {
        self.node.new_request_id()
    }

    fn max_body_bytes(&self) -> ByteCount {
        self.node.settings.limits.max_body_bytes
    }

    fn receive_timeout_ms(&self) -> Millis {
        self.node.settings.limits.receive_timeout_ms
    }

    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }
}
