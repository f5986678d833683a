//! Runs requests that may not run twice.

use cuminlb_fleet::rows::{ClaimName, ClaimRow, ClaimState};
use cuminlb_routing::{Refusal, RefusalKind, content_digest};
use cuminlb_types::prelude::*;

use super::claims::{ClaimAttempt, ClaimClient, WantedClaim, WholeAnswer};
use super::request_run::RequestRun;
use crate::node::Node;

/// The time that the end of a request may take beyond its deadline.
const RUNNING_MARGIN_MS: Millis = Millis(5_000);

/// Claims a request, sends it once and records its outcome.
pub(super) async fn run_claimed_request(
    mut run: RequestRun,
    claims: &ClaimClient,
) -> Result<WholeAnswer, Refusal> {
    let answer = claim_and_run(&mut run, claims).await;
    match &answer {
        Ok(_) => run.trail.answered(),
        Err(refusal) => run.trail.refused(refusal),
    }
    answer
}

async fn claim_and_run(run: &mut RequestRun, claims: &ClaimClient) -> Result<WholeAnswer, Refusal> {
    let deadline = run.bounds.deadline();
    match claims.acquire(wanted_claim(run), deadline).await? {
        ClaimAttempt::Held(mut claim) => {
            let answer = run.run_whole(&mut claim).await;
            claim.record(&answer).await;
            answer
        }
        ClaimAttempt::Recorded(answer) => Ok(answer),
        ClaimAttempt::Open(earlier) => {
            let kind = if may_be_running(&run.node, &earlier).await {
                RefusalKind::ClaimedElsewhere
            } else {
                RefusalKind::OutcomeUnknown
            };
            Err(Refusal::unknown(kind))
        }
    }
}

fn wanted_claim(run: &RequestRun) -> WantedClaim {
    let request = &run.request;
    let name = request
        .idempotency_key
        .clone()
        .map_or_else(|| ClaimName::Request(request.id.clone()), ClaimName::Key);
    let now_ms = UnixMillis::now();
    let running_ms = run.bounds.left_ms() + RUNNING_MARGIN_MS;
    let method = request.method.as_str();
    let row = ClaimRow {
        team: run.trail.team().clone(),
        service: run.destination.service.id.clone(),
        sender: run.node.id().clone(),
        incarnation: run.node.incarnation,
        request: request.id.clone(),
        content: content_digest(method, &run.destination.path, &request.body),
        claimed_at_ms: now_ms,
        running_until_ms: UnixMillis(now_ms.get().saturating_add(running_ms.get())),
        state: ClaimState::Running,
    };
    WantedClaim::new(&name, row)
}

/// Tells whether the node that made an open claim may still be running its request.
async fn may_be_running(node: &Node, claim: &ClaimRow) -> bool {
    if claim.sender == *node.id() {
        return claim.incarnation == node.incarnation;
    }
    let Some(link) = node.peers.get(&claim.sender) else {
        return true;
    };
    match link.exchange(node.peer_status()).await {
        Ok(peer_status) => peer_status.incarnation == claim.incarnation,
        // A sender that can't be reached may be cut off and go on.
        Err(_) => true,
    }
}
