//! Runs a request whose response is not a stream, with retries on other instances.

use std::sync::Arc;

use cuminlb_catalog::RouteKind;
use cuminlb_routing::{OpenAttempts, Refusal, RefusalKind, WaitDecision};
use cuminlb_types::prelude::*;
use http::Response;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::draining_refusal::draining_refusal;
use super::overload_refusal::overload_refusal;
use super::plain_attempts::PlainAttempts;
use super::response_body::ResponseBody;
use crate::gateway::Gateway;

/// `Retry-After` of a request for which no instance was available.
const RETRY_AFTER_MS: Millis = Millis(150);

/// Runs a request whose response is not a stream.
pub(super) async fn run_plain(
    gateway: &Arc<Gateway>,
    mut request: AdmittedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    gateway.allow_or_refuse(&mut request)?;
    let may_retry = request.route.kind == RouteKind::Idempotent;
    let decisions = OpenAttempts::new(request.route.max_attempts, may_retry);
    let mut attempts = PlainAttempts::new(gateway, &request, decisions);
    let mut failed_response = None;
    let mut reason: Option<SmolStr> = None;
    while !attempts.is_late() {
        // A request that may have run can't be refused as not run.
        let may_start = attempts.may_have_run() || request.deadline.may_start();
        if may_start && !attempts.has_responsive() {
            attempts.start();
        }
        // A failed response is kept while an instance that is silent may still respond.
        if attempts.is_empty() {
            let wait_until = request.useful_wait_until();
            if !gateway.has_way_to_instances() {
                break;
            }
            let decision = attempts.unavailability().decide(wait_until);
            let WaitDecision::WaitUntil(until) = decision else {
                break;
            };
            if failed_response.is_some() || !may_start {
                break;
            }
            request.deadline.wait_to_start(until).await;
            continue;
        }
        match attempts.next().await {
            Some(Ok((head, response))) => {
                gateway.record_success(&request);
                let should_retry = head.status.is_server_error() && may_retry;
                if !should_retry {
                    return Ok(response);
                }
                failed_response = Some(response);
            }
            Some(Err(failure)) => reason = Some(failure.to_smolstr()),
            None => {}
        }
    }
    if let Some(response) = failed_response {
        return Ok(response);
    }
    let reason = reason.unwrap_or_else(|| "no instance is available".into());
    Err(refusal(&request, &attempts, reason))
}

/// Returns the refusal of a request without a response.
fn refusal(request: &AdmittedRequest, attempts: &PlainAttempts<'_>, reason: SmolStr) -> Refusal {
    if !attempts.may_have_run() {
        if !request.deadline.may_start() {
            return draining_refusal();
        }
        let unavailability = attempts.unavailability();
        if unavailability.is_overload() {
            return overload_refusal(request);
        }
        let service = request.service.clone();
        let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
        let retry_after_ms = unavailability.retry_after(Instant::now(), &mut rand::rng());
        return refusal.with_retry_after(retry_after_ms.unwrap_or(RETRY_AFTER_MS));
    }
    if attempts.is_late() {
        let timeout_ms = request.age_ms(Instant::now());
        return Refusal::unknown(RefusalKind::DeadlineExceeded { timeout_ms });
    }
    Refusal::unknown(RefusalKind::UpstreamFailed { reason })
}
