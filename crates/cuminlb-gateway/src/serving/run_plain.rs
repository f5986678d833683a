//! [`run_plain`].

use std::time::Duration;

use cuminlb_catalog::RouteKind;
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::Response;
use log::info;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{Instant, timeout_at};

use super::answer_body::AnswerBody;
use super::ask::Ask;
use super::choose_target::choose_target;
use super::plain_exchange::plain_exchange;
use super::try_result::TryFailure;
use crate::gateway::Gateway;

/// The part of the time that is left which one try of a repeatable request may take.
const TRY_PART: f64 = 0.45;

/// The time that is left for telling the caller that its time is over.
const LAST_WORD: Duration = Duration::from_millis(15);

/// When a caller should come back that no instance could take.
const RETRY_AFTER_MS: Millis = Millis(150);

/// Answers a request whose answer is no stream.
pub(super) async fn run_plain(
    gateway: &Gateway,
    ask: Ask,
) -> Result<Response<AnswerBody>, Refusal> {
    let may_retry = ask.route.kind == RouteKind::Idempotent;
    let ends_at = ask.ends_at - LAST_WORD;
    let mut tried: Vec<InstanceId> = Vec::new();
    let mut runs = 0;
    let mut has_arrived = false;
    let mut failed_answer = None;
    let mut reason: Option<SmolStr> = None;
    loop {
        let now = Instant::now();
        if now >= ends_at {
            break;
        }
        let Some(target) = choose_target(gateway, &ask, &tried) else {
            break;
        };
        if has_arrived && !gateway.take_repeat(&ask.service) {
            break;
        }
        let is_last = runs + 1 >= ask.route.max_attempts;
        let until = if may_retry && !is_last {
            now + (ends_at - now).mul_f64(TRY_PART)
        } else {
            ends_at
        };
        let outcome = timeout_at(until, plain_exchange(gateway, &ask, &target)).await;
        let outcome = outcome.unwrap_or_else(|_elapsed| {
            gateway.pool.forget(target.address);
            let load = gateway.loads.load(&target.instance);
            load.record_outcome(true);
            load.suspect(Epoch(0), Instant::now());
            Err(TryFailure::unknown("no answer in time"))
        });
        let now = Instant::now();
        info!(
            request:% = ask.head.id, route:% = ask.route.name, instance:% = target.instance,
            tries = tried.len() + 1, age_ms = ask.age_ms(now).get(),
            outcome:% = outcome.as_ref().map_or_else(ToSmolStr::to_smolstr, |(head, _)| head.status.to_smolstr());
            "request sent"
        );
        tried.push(target.instance);
        match outcome {
            Ok((head, answer)) => {
                has_arrived = true;
                let is_worth_a_try = head.status >= 500 && may_retry && !is_last;
                if !is_worth_a_try {
                    return Ok(answer);
                }
                runs += 1;
                failed_answer = Some(answer);
            }
            Err(TryFailure::NotRun {
                reason: why,
                has_arrived: arrived,
            }) => {
                has_arrived |= arrived;
                reason = Some(why);
            }
            Err(failure @ (TryFailure::Unknown { .. } | TryFailure::Silent)) => {
                has_arrived = true;
                runs += 1;
                reason = Some(failure.to_smolstr());
                if !may_retry || is_last {
                    break;
                }
            }
        }
    }
    if let Some(answer) = failed_answer {
        return Ok(answer);
    }
    let reason = reason.unwrap_or_else(|| "no instance can take it".into());
    if runs == 0 {
        let service = ask.service.clone();
        let refusal = Refusal::not_run(RefusalKind::NoGroup { service });
        return Err(refusal.with_retry_after(RETRY_AFTER_MS));
    }
    if Instant::now() >= ends_at {
        let timeout_ms = ask.age_ms(Instant::now());
        return Err(Refusal::unknown(RefusalKind::DeadlineExceeded {
            timeout_ms,
        }));
    }
    Err(Refusal::unknown(RefusalKind::UpstreamFailed { reason }))
}
