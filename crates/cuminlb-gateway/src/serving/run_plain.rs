//! Runs a request whose response is not a stream, with retries on other instances.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_catalog::RouteKind;
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::Response;
use log::info;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{Instant, sleep_until};

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::choose_target::choose_target;
use super::plain_exchange::plain_exchange;
use super::response_body::ResponseBody;
use crate::gateway::Gateway;

/// Fraction of the remaining time that one attempt of an idempotent request may take.
const ATTEMPT_TIME_FRACTION: f64 = 0.45;

/// Time reserved before the deadline for telling the caller that the request timed out.
const TIMEOUT_RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// `Retry-After` of a request for which no instance was available.
const RETRY_AFTER_MS: Millis = Millis(150);

/// Runs a request whose response is not a stream.
pub(super) async fn run_plain(
    gateway: &Arc<Gateway>,
    mut request: AdmittedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    gateway.allow_or_refuse(&mut request)?;
    let may_retry = request.route.kind == RouteKind::Idempotent;
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut runs = 0;
    let mut has_reached_instance = false;
    let mut failed_response = None;
    let mut reason: Option<SmolStr> = None;
    loop {
        let now = Instant::now();
        let deadline = request.deadline.latest() - TIMEOUT_RESPONSE_MARGIN;
        if now >= deadline {
            break;
        }
        let Some(target) = choose_target(gateway, &request, &tried) else {
            break;
        };
        if runs > 0 && gateway.is_quarantined(&request) {
            break;
        }
        if has_reached_instance && !gateway.acquire_retry(&request.service) {
            break;
        }
        let is_last_attempt = runs + 1 >= request.route.max_attempts;
        let expired = async {
            if may_retry && !is_last_attempt {
                sleep_until(now + (deadline - now).mul_f64(ATTEMPT_TIME_FRACTION)).await;
            } else {
                let deadline = &request.deadline;
                deadline.passed_but_for(TIMEOUT_RESPONSE_MARGIN).await;
            }
        };
        let outcome = tokio::select! {
            biased;
            outcome = plain_exchange(gateway, &request, &target) => Some(outcome),
            () = expired => None,
        };
        let outcome = outcome.unwrap_or_else(|| {
            gateway.pool.close_idle(target.address);
            let load = gateway.loads.load(&target.instance);
            load.record_outcome(true);
            load.suspect(Epoch(0), Instant::now());
            Err(AttemptFailure::unknown("no response in time"))
        });
        let now = Instant::now();
        info!(
            request:% = request.head.id, route:% = request.route.name, instance:% = target.instance,
            tries = tried.len() + 1, age_ms = request.age_ms(now).get(),
            outcome:% = outcome
                .as_ref()
                .map_or_else(ToSmolStr::to_smolstr, |(head, _)| head.status.to_smolstr());
            "request sent"
        );
        let failure = outcome.as_ref().err();
        if let Some(stage) = failure.and_then(AttemptFailure::stage_of_lost_connection) {
            gateway.check_instance(&request, &target, stage);
        }
        tried.push(target.instance);
        match outcome {
            Ok((head, response)) => {
                has_reached_instance = true;
                gateway.record_success(&request);
                let should_retry = head.status >= 500 && may_retry && !is_last_attempt;
                if !should_retry {
                    return Ok(response);
                }
                runs += 1;
                failed_response = Some(response);
            }
            Err(failure) => {
                has_reached_instance |= failure.has_reached_instance();
                reason = Some(failure.to_smolstr());
                if failure.is_not_run() {
                    continue;
                }
                runs += 1;
                if !may_retry || is_last_attempt {
                    break;
                }
            }
        }
    }
    if let Some(response) = failed_response {
        return Ok(response);
    }
    let reason = reason.unwrap_or_else(|| "no instance is available".into());
    if runs == 0 {
        let service = request.service.clone();
        let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
        return Err(refusal.with_retry_after(RETRY_AFTER_MS));
    }
    if Instant::now() >= request.deadline.latest() - TIMEOUT_RESPONSE_MARGIN {
        let timeout_ms = request.age_ms(Instant::now());
        return Err(Refusal::unknown(RefusalKind::DeadlineExceeded {
            timeout_ms,
        }));
    }
    Err(Refusal::unknown(RefusalKind::UpstreamFailed { reason }))
}
