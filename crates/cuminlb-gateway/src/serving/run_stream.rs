//! Runs a request whose response is a stream of events.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::Response;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until};

use super::admitted_request::AdmittedRequest;
use super::choose_target::choose_target;
use super::open_stream::OpenedResponse;
use super::response_body::ResponseBody;
use super::stream_attempts::StreamAttempts;
use super::stream_relay::StreamRelay;
use super::target::Target;
use crate::gateway::Gateway;

/// Fraction of the target latency of the first event for which a request waits for a serving group.
const GROUP_WAIT_FRACTION: f64 = 0.8;

/// Range of the `Retry-After` of a request for which no group was serving.
const RETRY_AFTER_MS: std::ops::Range<u64> = 400..1_200;

/// Runs a request whose response is a stream of events.
pub(super) async fn run_stream(
    gateway: &Arc<Gateway>,
    mut request: AdmittedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    gateway.allow_or_refuse(&mut request)?;
    let mut attempts =
        StreamAttempts::new(request.route.max_attempts, request.route.kind.may_retry());
    let mut reason: SmolStr = "no group is serving".into();
    while let Some(target) = wait_for_target(gateway, &request, &attempts).await {
        if gateway.is_quarantined(&request) {
            if attempts.may_have_run() {
                reason = "instances crashed while they responded to it".into();
                break;
            }
            if !request.is_probe {
                gateway.allow_or_refuse(&mut request)?;
            }
        }
        if attempts.has_reached_instance() && !gateway.acquire_retry(&request.service) {
            reason = "retry budget exhausted".into();
            break;
        }
        match attempts
            .open(gateway, &request, target, request.head.resume_after)
            .await
        {
            Ok(OpenedResponse::Stream(source, parts)) => {
                return Ok(StreamRelay::response(
                    gateway, request, attempts, *source, &parts,
                ));
            }
            Ok(OpenedResponse::Other(response)) => return Ok(response),
            Err(failure) => {
                reason = smol_str::ToSmolStr::to_smolstr(&failure);
                if !failure.is_not_run() && !attempts.may_run_again() {
                    break;
                }
            }
        }
    }
    if attempts.may_have_run() {
        if request.deadline.has_passed() {
            let timeout_ms = request.age_ms(Instant::now());
            return Err(Refusal::unknown(RefusalKind::DeadlineExceeded {
                timeout_ms,
            }));
        }
        return Err(Refusal::unknown(RefusalKind::UpstreamFailed { reason }));
    }
    let service = request.service.clone();
    let retry_after_ms = rand::random_range(RETRY_AFTER_MS);
    let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
    Err(refusal.with_retry_after(Millis(retry_after_ms)))
}

/// Chooses a group, or waits for one while the first event can still meet the target latency.
async fn wait_for_target(
    gateway: &Gateway,
    request: &AdmittedRequest,
    attempts: &StreamAttempts,
) -> Option<Target> {
    let wait: Duration = request
        .route
        .target_latency_ms
        .duration()
        .mul_f64(GROUP_WAIT_FRACTION);
    let until = (request.received_at + wait).min(request.deadline.latest());
    let mut changes = gateway.knowledge.directory_changes();
    loop {
        if let Some(target) = choose_target(gateway, request, attempts.instances()) {
            return Some(target);
        }
        tokio::select! {
            () = sleep_until(until) => return choose_target(gateway, request, attempts.instances()),
            changed = changes.changed() => changed.ok()?,
        }
    }
}
