//! Runs a request whose response is a stream of events.

use std::sync::Arc;

use cuminlb_routing::{Refusal, RefusalKind, Unavailability};
use cuminlb_types::prelude::*;
use http::Response;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::draining_refusal::draining_refusal;
use super::overload_refusal::overload_refusal;
use super::response_body::ResponseBody;
use super::stream_attempts::StreamAttempts;
use super::stream_relay::StreamRelay;
use super::stream_update::StreamUpdate;
use super::wait_for_target::wait_for_target;
use crate::gateway::Gateway;

/// Range of the `Retry-After` of a request for which no group was serving.
const RETRY_AFTER_MS: std::ops::Range<u64> = 400..1_200;

/// Runs a request whose response is a stream of events.
///
/// The response begins with the first event or the end of the stream. A head alone does not show that
/// anything follows, and a stream that breaks off before can still be answered in full.
pub(super) async fn run_stream(
    gateway: &Arc<Gateway>,
    mut request: AdmittedRequest,
) -> Result<Response<ResponseBody>, Refusal> {
    gateway.allow_or_refuse(&mut request)?;
    let mut attempts = StreamAttempts::new(gateway, request);
    let mut failed_response = None;
    let mut reason: SmolStr = "no group is serving".into();
    let mut unavailability = Unavailability::default();
    loop {
        if attempts.open.is_empty() {
            // A request that may have run can't be refused as not run.
            let may_start = attempts.may_have_run() || attempts.request.deadline.may_start();
            if failed_response.is_some() || !attempts.may_run_again() || !may_start {
                break;
            }
            let until = attempts.request.useful_wait_until();
            let deadline = attempts.request.deadline.clone();
            let target = tokio::select! {
                biased;
                target = wait_for_target(&mut attempts, until) => target,
                () = deadline.wait_to_start(until) => continue,
            };
            let target = match target {
                Ok(target) => target,
                Err(known) => {
                    unavailability = known;
                    break;
                }
            };
            attempts.allow_or_refuse()?;
            if let Err(obstacle) = attempts.start(target) {
                reason = obstacle.to_smolstr();
                break;
            }
        }
        let update = tokio::select! {
            biased;
            update = attempts.next() => update,
            () = gateway.drain.answers_due() => break,
        };
        match update {
            StreamUpdate::Opened => {}
            StreamUpdate::Other(response) => {
                if !response.status().is_server_error() {
                    return Ok(response);
                }
                failed_response = Some(response);
            }
            update @ (StreamUpdate::Event(number, _) | StreamUpdate::End(number)) => {
                return Ok(StreamRelay::response(attempts, number, update));
            }
            StreamUpdate::Failed(failure) => {
                reason = failure;
                if !attempts.open.is_empty() {
                    attempts.offer(&reason);
                }
            }
            StreamUpdate::Silent => attempts.offer("silent"),
            StreamUpdate::TimedOut => break,
        }
    }
    failed_response.map_or_else(|| Err(refusal(&attempts, reason, unavailability)), Ok)
}

/// Returns the refusal of a request without a response.
fn refusal(attempts: &StreamAttempts, reason: SmolStr, unavailability: Unavailability) -> Refusal {
    let request = &attempts.request;
    if attempts.may_have_run() {
        if request.deadline.has_passed() || request.deadline.is_cut_short() {
            let timeout_ms = request.age_ms(Instant::now());
            return Refusal::unknown(RefusalKind::DeadlineExceeded { timeout_ms });
        }
        return Refusal::unknown(RefusalKind::UpstreamFailed { reason });
    }
    if !request.deadline.may_start() {
        return draining_refusal();
    }
    if unavailability.is_overload() {
        return overload_refusal(request);
    }
    let service = request.service.clone();
    let retry_after_ms = unavailability
        .retry_after(Instant::now(), &mut rand::rng())
        .unwrap_or_else(|| Millis(rand::random_range(RETRY_AFTER_MS)));
    let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
    refusal.with_retry_after(retry_after_ms)
}
