//! The entry point of callers' requests: authentication, admission and the choice of how to run
//! a request.

use std::sync::Arc;

use cuminlb_caller::{CallerHandler, CallerRequest, CallerResponse};
use cuminlb_config::{ApiKeyDigest, TeamSpec};
use cuminlb_routing::{AdmissionControl, AdmissionLimits, AdmissionPermit, Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

use super::caller_context::CallerContext;
use super::claimed_request::run_claimed_request;
use super::claims::{ClaimClient, CompleteResponse};
use super::destination::Destination;
use super::failed_groups::FailedGroups;
use super::priority_header::parse_priority;
use super::request_events::RequestEvents;
use super::request_quarantine::RequestQuarantine;
use super::request_run::RequestRun;
use super::retry_budgets::RetryBudgets;
use super::run_bounds::RunBounds;
use super::stream_relay::StreamRelay;
use super::suspect_isolation::SuspectIsolation;
use super::upstream_request::response_headers;
use crate::node::Node;

/// Routes callers' requests to upstreams.
#[derive(Clone)]
pub struct Router {
    node: Arc<Node>,
    admission: Arc<AdmissionControl>,
    budgets: RetryBudgets,
    claims: ClaimClient,
    isolation: Arc<SuspectIsolation>,
    failed_groups: Arc<FailedGroups>,
    /// The requests in flight; claimed requests continue after their callers disconnect.
    in_flight: TaskTracker,
    /// Cancelled when the node starts to refuse new requests.
    draining: CancellationToken,
    /// Cancelled at shutdown, when the time for the requests in flight is over.
    abort: CancellationToken,
}

impl Router {
    /// Creates the router of a node; new requests are refused once `draining` is cancelled.
    pub fn new(node: Arc<Node>, claims: ClaimClient, draining: CancellationToken) -> Self {
        let limits = AdmissionLimits {
            max_waiting: node.settings.limits.max_queued,
        };
        Self {
            admission: Arc::new(AdmissionControl::new(&limits)),
            budgets: RetryBudgets::default(),
            claims,
            isolation: Arc::default(),
            failed_groups: Arc::default(),
            in_flight: TaskTracker::new(),
            draining,
            abort: CancellationToken::new(),
            node,
        }
    }

    /// Aborts the requests in flight; each refusal states whether its request may have run.
    pub fn abort_requests(&self) {
        self.abort.cancel();
    }

    /// Waits until no request is in flight.
    pub async fn join(&self) {
        self.in_flight.close();
        self.in_flight.wait().await;
    }

    async fn route(&self, request: CallerRequest) -> Result<CallerResponse, Refusal> {
        let resolved = self.resolve(&request);
        let (team, destination) =
            resolved.inspect_err(|refusal| self.record_rejection(&request.id, refusal))?;
        let service = destination.service.id.clone();
        let node = Arc::clone(&self.node);
        let mut events = RequestEvents::new(node, request.id.clone(), team.id.clone(), service);
        // Counted before the check, so that a shutdown waits for each request that passes it.
        let in_flight = self.in_flight.token();
        let live_nodes = self.node.view.borrow().nodes().iter().count();
        let admitted = self
            .check_accepts_requests()
            .and_then(|()| parse_priority(&request.headers))
            .and_then(|priority| Ok((priority, self.admission.admit(&team, live_nodes)?)));
        match admitted {
            Ok((priority, permit)) => {
                let caller = CallerContext { team, priority };
                let run = self.new_run(request, caller, destination, events, in_flight);
                self.execute(run, permit).await
            }
            Err(refusal) => {
                events.record_refused(&refusal);
                Err(refusal)
            }
        }
    }

    /// Finds the team by the API key, and the service by the model or the path.
    fn resolve(&self, request: &CallerRequest) -> Result<(TeamSpec, Destination), Refusal> {
        let view = self.node.view.borrow();
        let not_run = |kind| Refusal::not_run(kind);
        let spec = view
            .spec()
            .ok_or_else(|| not_run(RefusalKind::ConfigUnconfirmed))?;
        let digest = request.api_key.as_deref().map(ApiKeyDigest::compute);
        let team = spec.teams.iter().find(|team| Some(team.api_key) == digest);
        let team = team
            .cloned()
            .ok_or_else(|| not_run(RefusalKind::Unauthenticated))?;
        Ok((team, Destination::find(spec, request)?))
    }

    fn check_accepts_requests(&self) -> Result<(), Refusal> {
        if self.draining.is_cancelled() {
            return Err(Refusal::not_run(RefusalKind::Draining));
        }
        if !self.node.is_config_confirmed() {
            return Err(Refusal::not_run(RefusalKind::ConfigUnconfirmed));
        }
        Ok(())
    }

    fn new_run(
        &self,
        request: CallerRequest,
        caller: CallerContext,
        destination: Destination,
        events: RequestEvents,
        in_flight: TaskTrackerToken,
    ) -> RequestRun {
        let max_timeout_ms = self.node.settings.limits.request_timeout_ms;
        let timeout_ms = request
            .timeout_ms
            .map_or(max_timeout_ms, |timeout_ms| timeout_ms.min(max_timeout_ms));
        let quarantine = RequestQuarantine::new(&self.node, &events, &request, &self.isolation);
        RequestRun {
            node: Arc::clone(&self.node),
            quarantine,
            failed_groups: Arc::clone(&self.failed_groups),
            bounds: RunBounds::new(timeout_ms, self.abort.clone()),
            budget: self.budgets.record_first_attempt(&destination.service.id),
            is_idempotent: destination.is_idempotent(&request),
            admission: Arc::clone(&self.admission),
            caller,
            request,
            destination,
            events,
            attempts: 0,
            attempted_groups: Vec::new(),
            may_have_run: false,
            _in_flight: in_flight,
        }
    }

    async fn execute(
        &self,
        run: RequestRun,
        permit: AdmissionPermit,
    ) -> Result<CallerResponse, Refusal> {
        if run.is_idempotent {
            return run_idempotent(run, permit).await;
        }
        let claims = self.claims.clone();
        let task = self.in_flight.spawn(async move {
            let result = run_claimed_request(run, &claims).await;
            drop(permit);
            result
        });
        match task.await {
            Ok(result) => result.map(into_caller_response),
            // Only a panic ends the task early; dropping the claim has then settled it.
            Err(_) => Err(Refusal::unknown(RefusalKind::OutcomeUnknown)),
        }
    }
}

async fn run_idempotent(
    mut run: RequestRun,
    permit: AdmissionPermit,
) -> Result<CallerResponse, Refusal> {
    let result = run_until_response(&mut run).await;
    match result {
        Ok(RunResponse::Complete(response)) => {
            run.events.record_answered();
            Ok(into_caller_response(response))
        }
        Ok(RunResponse::Stream(response)) => {
            let status = response.http_response.status();
            let headers = response_headers(response.http_response.headers());
            let items = StreamRelay::new(run, response, permit).into_items();
            Ok(CallerResponse::Stream {
                status,
                headers,
                items,
            })
        }
        Err(refusal) => {
            run.events.record_refused(&refusal);
            Err(refusal)
        }
    }
}

/// A response that is forwarded to the caller, either buffered or as a stream.
enum RunResponse {
    Complete(CompleteResponse),
    Stream(super::open_response::OpenResponse),
}

async fn run_until_response(run: &mut RequestRun) -> Result<RunResponse, Refusal> {
    loop {
        let response = run.open_response(0).await?;
        if response.is_stream() {
            return Ok(RunResponse::Stream(response));
        }
        match run.read_complete(response).await {
            Ok(complete) => return Ok(RunResponse::Complete(complete)),
            Err(failure) => run.handle_failure(failure)?,
        }
    }
}

fn into_caller_response(response: CompleteResponse) -> CallerResponse {
    CallerResponse::Complete {
        status: response.status,
        headers: response.headers,
        body: response.body,
    }
}

impl CallerHandler for Router {
    async fn handle(&self, request: CallerRequest) -> CallerResponse {
        self.route(request)
            .await
            .unwrap_or_else(CallerResponse::Refused)
    }

    fn record_rejection(&self, request: &RequestId, refusal: &Refusal) {
        self.node.record_rejection(request, refusal);
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
