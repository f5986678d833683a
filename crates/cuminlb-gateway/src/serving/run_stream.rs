//! Runs a request whose response is a stream of events.

use std::sync::Arc;

use cuminlb_routing::{Refusal, RefusalKind, Unavailability, WaitDecision};
use cuminlb_types::prelude::*;
use http::Response;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{Instant, sleep_until};

use super::admitted_request::AdmittedRequest;
use super::choose_target::select_target;
use super::response_body::ResponseBody;
use super::stream_attempts::StreamAttempts;
use super::stream_relay::StreamRelay;
use super::stream_update::StreamUpdate;
use super::target::Target;
use crate::gateway::Gateway;

/// Range of the `Retry-After` of a request for which no group was serving.
const RETRY_AFTER_MS: std::ops::Range<u64> = 400..1_200;

/// Runs a request whose response is a stream of events.
pub(super) async fn run_stream(
    gateway: &Arc<Gateway>,
    mut request: AdmittedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    gateway.allow_or_refuse(&mut request)?;
    let resume_after = request.head.resume_after;
    let mut attempts = StreamAttempts::new(gateway, request);
    let mut failed_response = None;
    let mut reason: SmolStr = "no group is serving".into();
    let mut unavailability = Unavailability::default();
    loop {
        if let Some(number) = attempts.only_stream() {
            return Ok(StreamRelay::response(attempts, number, None));
        }
        if attempts.is_empty() {
            if failed_response.is_some() || !attempts.may_run_again() {
                break;
            }
            let target = match wait_for_target(&mut attempts).await {
                Ok(target) => target,
                Err(known) => {
                    unavailability = known;
                    break;
                }
            };
            attempts.allow_or_refuse()?;
            if let Err(obstacle) = attempts.start(target, resume_after) {
                reason = obstacle.to_smolstr();
                break;
            }
        }
        match attempts.next().await {
            StreamUpdate::Opened => {}
            StreamUpdate::Other(response) => {
                if !response.status().is_server_error() {
                    return Ok(response);
                }
                failed_response = Some(response);
            }
            update @ (StreamUpdate::Event(number, _) | StreamUpdate::End(number)) => {
                return Ok(StreamRelay::response(attempts, number, Some(update)));
            }
            StreamUpdate::Failed(failure) => {
                reason = failure;
                if !attempts.is_empty() {
                    // Without another group the request stays where it is, which is logged.
                    let _ = attempts.offer(resume_after, &reason);
                }
            }
            StreamUpdate::Silent => {
                let _ = attempts.offer(resume_after, "silent");
            }
            StreamUpdate::TimedOut => break,
        }
    }
    failed_response.map_or_else(|| Err(refusal(&attempts, reason, unavailability)), Ok)
}

/// Returns the refusal of a request without a response.
fn refusal(attempts: &StreamAttempts, reason: SmolStr, unavailability: Unavailability) -> Refusal {
    let request = &attempts.request;
    if attempts.may_have_run() {
        if request.deadline.has_passed() {
            let timeout_ms = request.age_ms(Instant::now());
            return Refusal::unknown(RefusalKind::DeadlineExceeded { timeout_ms });
        }
        return Refusal::unknown(RefusalKind::UpstreamFailed { reason });
    }
    let service = request.service.clone();
    let retry_after_ms = unavailability
        .retry_after(Instant::now(), &mut rand::rng())
        .unwrap_or_else(|| Millis(rand::random_range(RETRY_AFTER_MS)));
    let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
    refusal.with_retry_after(retry_after_ms)
}

/// Chooses a group, or waits for one while the first event can still meet the target latency.
async fn wait_for_target(attempts: &mut StreamAttempts) -> Result<Target, Unavailability> {
    let StreamAttempts {
        gateway,
        request,
        instances,
        ..
    } = attempts;
    let wait_until = request.useful_wait_until();
    let mut changes = gateway.knowledge.directory_changes();
    loop {
        let unavailability = match select_target(gateway, request, instances) {
            Ok(target) => return Ok(target),
            Err(unavailability) => unavailability,
        };
        let wake_at = match unavailability.decide(wait_until) {
            WaitDecision::WaitUntil(until) => until,
            WaitDecision::WaitForChange if Instant::now() < wait_until => wait_until,
            WaitDecision::WaitForChange | WaitDecision::Refuse => return Err(unavailability),
        };
        tokio::select! {
            () = sleep_until(wake_at) => {}
            changed = changes.changed() => if changed.is_err() {
                return Err(unavailability);
            },
        }
    }
}
