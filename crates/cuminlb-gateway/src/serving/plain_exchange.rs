//! [`plain_exchange`].

use bytes::Bytes;
use cuminlb_catalog::{AnswerHead, Forwarding};
use cuminlb_routing::request_urgency;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use smol_str::{ToSmolStr, format_smolstr};
use tokio::time::Instant;

use super::answer_body::{AnswerBody, whole_body};
use super::ask::Ask;
use super::target::Target;
use super::try_result::TryFailure;
use crate::gateway::Gateway;
use crate::upstream::SendFailure;

/// The largest plain answer that is kept whole.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Sends a request to an instance and returns its whole answer.
pub(super) async fn plain_exchange(
    gateway: &Gateway,
    ask: &Ask,
    target: &Target,
) -> Result<(AnswerHead, Response<AnswerBody>), TryFailure> {
    let in_flight = gateway.loads.begin(&target.instance);
    let wire = gateway.edges.wire.as_ref();
    let mut connection = gateway
        .pool
        .connect(target.address)
        .await
        .map_err(|failure| {
            in_flight.load().note_outcome(true);
            not_sent(failure)
        })?;
    let request = forwarded(gateway, ask, target, ask.head.resume_after);
    let answer = connection.send(request).await.map_err(|failure| {
        in_flight.load().note_outcome(true);
        not_sent(failure)
    })?;
    let (parts, body) = answer.into_parts();
    let head = wire.read_answer(&parts);
    if head.request.as_ref().is_some_and(|id| *id != ask.head.id) {
        return Err(TryFailure::unknown("the answer belongs to another request"));
    }
    let body = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| {
        in_flight.load().note_outcome(true);
        TryFailure::unknown(format_smolstr!("the answer broke off: {error}"))
    })?;
    in_flight.note_progress(Instant::now());
    if !head.closes {
        gateway.pool.give_back(connection, head.keep_alive_ms);
    }
    if head.is_not_run {
        in_flight.load().note_refusal(Instant::now());
        return Err(TryFailure::NotRun {
            reason: format_smolstr!("refused with status {}", head.status),
            has_arrived: true,
        });
    }
    if !head.is_proved || head.is_encoded {
        in_flight.load().note_outcome(true);
        return Err(TryFailure::unknown("the answer is not the instance's own"));
    }
    in_flight.load().note_outcome(head.status >= 500);
    let mut response = Response::new(whole_body(body.to_bytes()));
    *response.status_mut() = parts.status;
    *response.headers_mut() = wire.answer_headers(&parts);
    Ok((head, response))
}

/// Returns the request as it goes to an instance.
pub(super) fn forwarded(
    gateway: &Gateway,
    ask: &Ask,
    target: &Target,
    resume_after: Option<cuminlb_types::EventId>,
) -> Request<Full<Bytes>> {
    let forwarding = Forwarding {
        instance: target.instance.clone(),
        team: ask.team.as_ref().map(|team| team.id.clone()),
        left_ms: ask.left_ms(Instant::now()),
        resume_after,
        urgency: request_urgency(ask.priority(), &ask.head.id, resume_after),
    };
    let parts = gateway.edges.wire.forward(&ask.parts, &forwarding);
    Request::from_parts(parts, Full::new(ask.body.clone()))
}

/// Says of a failed send whether the request may have run.
pub(super) fn not_sent(failure: SendFailure) -> TryFailure {
    match failure {
        SendFailure::NotSent { reason } => TryFailure::NotRun {
            reason,
            has_arrived: false,
        },
        SendFailure::NoAnswer { .. } => TryFailure::unknown(failure.to_smolstr()),
    }
}
