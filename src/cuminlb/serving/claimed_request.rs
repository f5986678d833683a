//! Runs requests that must not run twice.

use cuminlb_fleet::rows::{ClaimName, ClaimRow, ClaimState};
use cuminlb_routing::{Refusal, RefusalKind, content_digest};
use cuminlb_types::prelude::*;

use super::claims::{ClaimClient, ClaimOutcome, ClaimRequest, CompleteResponse};
use super::request_run::RequestRun;
use crate::node::Node;

/// The time by which the end of a request may lag behind its deadline.
const RUNNING_MARGIN_MS: Millis = Millis(5_000);

/// Claims a request, runs it and records its outcome.
pub(super) async fn run_claimed_request(
    mut run: RequestRun,
    claims: &ClaimClient,
) -> Result<CompleteResponse, Refusal> {
    let result = claim_and_run(&mut run, claims).await;
    match &result {
        Ok(_) => run.events.record_answered(),
        Err(refusal) => run.events.record_refused(refusal),
    }
    result
}

async fn claim_and_run(
    run: &mut RequestRun,
    claims: &ClaimClient,
) -> Result<CompleteResponse, Refusal> {
    let deadline = run.bounds.deadline();
    match claims.acquire(new_claim(run), deadline).await? {
        ClaimOutcome::Held(mut claim) => {
            let result = run.run_claimed(&mut claim).await;
            claim.record(&result).await;
            result
        }
        ClaimOutcome::Recorded(response) => Ok(response),
        ClaimOutcome::Open(earlier) => {
            let kind = if may_be_running(&run.node, &earlier).await {
                RefusalKind::ClaimedElsewhere
            } else {
                RefusalKind::OutcomeUnknown
            };
            Err(Refusal::unknown(kind))
        }
    }
}

fn new_claim(run: &RequestRun) -> ClaimRequest {
    let request = &run.request;
    let name = request
        .idempotency_key
        .clone()
        .map_or_else(|| ClaimName::Request(request.id.clone()), ClaimName::Key);
    let now_ms = UnixMillis::now();
    let running_ms = run.bounds.remaining_ms() + RUNNING_MARGIN_MS;
    let method = request.method.as_str();
    let row = ClaimRow {
        team: run.events.team().clone(),
        service: run.destination.service.id.clone(),
        sender: run.node.id().clone(),
        incarnation: run.node.incarnation,
        request: request.id.clone(),
        content: content_digest(method, &run.destination.path, &request.body),
        claimed_at_ms: now_ms,
        running_until_ms: UnixMillis(now_ms.get().saturating_add(running_ms.get())),
        state: ClaimState::Running,
    };
    ClaimRequest::new(&name, row)
}

/// Returns whether the node that wrote an open claim may still be running its request.
async fn may_be_running(node: &Node, claim: &ClaimRow) -> bool {
    if claim.sender == *node.id() {
        return claim.incarnation == node.incarnation;
    }
    let Some(link) = node.peers.get(&claim.sender) else {
        return true;
    };
    match link.exchange(node.peer_status()).await {
        Ok(sender_status) => sender_status.incarnation == claim.incarnation,
        // A sender that can't be reached may be partitioned and still running.
        Err(_) => true,
    }
}
