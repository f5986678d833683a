//! [`run_stream`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::Response;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep_until};

use super::answer_body::AnswerBody;
use super::ask::Ask;
use super::choose_target::choose_target;
use super::open_stream::Opened;
use super::stream_relay::StreamRelay;
use super::stream_tries::StreamTries;
use super::target::Target;
use super::try_result::TryFailure;
use crate::gateway::Gateway;

/// The part of the time to the first event for which a request waits for a group that serves.
const WAIT_PART: f64 = 0.8;

/// When a caller should come back for which no group served.
const RETRY_AFTER_MS: std::ops::Range<u64> = 400..1_200;

/// Answers a request whose answer is a stream of events.
pub(super) async fn run_stream(
    gateway: &Arc<Gateway>,
    ask: Ask,
) -> Result<Response<AnswerBody>, Refusal> {
    let mut tries = StreamTries::new(ask.route.max_attempts, ask.route.kind.may_retry());
    let mut reason: SmolStr = "no group serves".into();
    while let Some(target) = wait_for_target(gateway, &ask, &tries).await {
        if tries.has_arrived() && !gateway.take_repeat(&ask.service) {
            reason = "the budget of repeats is used up".into();
            break;
        }
        match tries
            .open(gateway, &ask, target, ask.head.resume_after)
            .await
        {
            Ok(Opened::Stream(source, parts)) => {
                return Ok(StreamRelay::answer(gateway, ask, tries, *source, &parts));
            }
            Ok(Opened::Other(answer)) => return Ok(answer),
            Err(failure) => {
                reason = smol_str::ToSmolStr::to_smolstr(&failure);
                if matches!(failure, TryFailure::NotRun { .. }) {
                    continue;
                }
                if !tries.may_run_again() {
                    break;
                }
            }
        }
    }
    if tries.may_have_run() {
        if Instant::now() >= ask.ends_at {
            let timeout_ms = ask.age_ms(Instant::now());
            return Err(Refusal::unknown(RefusalKind::DeadlineExceeded {
                timeout_ms,
            }));
        }
        return Err(Refusal::unknown(RefusalKind::UpstreamFailed { reason }));
    }
    let service = ask.service.clone();
    let retry_after_ms = rand::random_range(RETRY_AFTER_MS);
    let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
    Err(refusal.with_retry_after(Millis(retry_after_ms)))
}

/// Chooses a group, or waits for one as long as the caller's first event can still be early.
async fn wait_for_target(gateway: &Gateway, ask: &Ask, tries: &StreamTries) -> Option<Target> {
    let wait: Duration = ask.route.target_latency_ms.duration().mul_f64(WAIT_PART);
    let until = (ask.came_at + wait).min(ask.ends_at);
    let mut changes = gateway.knowledge.directory_changes();
    loop {
        if let Some(target) = choose_target(gateway, ask, tries.instances()) {
            return Some(target);
        }
        tokio::select! {
            () = sleep_until(until) => return choose_target(gateway, ask, tries.instances()),
            changed = changes.changed() => changed.ok()?,
        }
    }
}
