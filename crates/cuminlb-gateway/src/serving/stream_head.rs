//! The head of the response to a request for an event stream.

use std::sync::Arc;

use cuminlb_routing::BodyBudget;
use cuminlb_types::prelude::*;
use cuminlb_upstream::EventDecoder;
use futures_util::future::BoxFuture;
use http::{HeaderMap, Response, StatusCode, response};
use hyper::body::Incoming;
use smol_str::format_smolstr;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::in_flight_guard::InFlightGuard;
use super::plain_exchange::{check_owner, refusal_reason};
use super::response_body::{ResponseBody, full_body};
use super::stream_source::StreamSource;
use super::target::Target;
use crate::collect_body::collect_body;
use crate::gateway::Gateway;
use crate::links::{InstanceLink, UndelimitedBody};
use crate::upstream::ConnectionDeadline;

/// Size limit of a response that is buffered because it is not the requested stream.
const MAX_NON_STREAM_BYTES: ByteCount = ByteCount(1 << 20);

/// What follows the head of the response to a request for a stream.
pub(super) enum StreamHead {
    /// The stream.
    Stream(Box<StreamSource>),
    /// The rest of a response of another kind.
    Other(BoxFuture<'static, Result<Response<ResponseBody>, AttemptFailure>>),
}

/// Evaluates the head of the response to a request that was sent at `sent_at`.
///
/// # Errors
///
/// Returns [`AttemptFailure`] if the instance refused the request, if the status answers no request, or if
/// the response is not the instance's response to this request.
pub(super) fn read_head(
    gateway: &Arc<Gateway>,
    request: &AdmittedRequest,
    target: &Target,
    in_flight: &InFlightGuard,
    link: InstanceLink,
    response: Response<Incoming>,
    sent_at: Instant,
) -> Result<StreamHead, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let wire = gateway.edges.wire.as_ref();
    let mut head = wire.read_response(&parts)?;
    head.ends_with_connection |= parts.extensions.get::<UndelimitedBody>().is_some();
    gateway.record_leaving(target, &head);
    check_owner(request, &head, &link)?;
    gateway.record_limit(&target.instance, target.incarnation, &head, sent_at);
    let now = Instant::now();
    if let Some(delay_ms) = head.refusal_delay() {
        gateway.retry_times.record(&target.instance, delay_ms, now);
    }
    if head.is_not_executed {
        in_flight.load().record_refusal(now);
        let reason = refusal_reason(&head);
        let has_reached_instance = true;
        // Dropping the rest of the response closes the connection; it carries no further
        // information.
        return Err(AttemptFailure::NotRun {
            reason,
            has_reached_instance,
        });
    }
    if !head.is_attested || head.is_encoded {
        return Err(AttemptFailure::unknown(
            "the response lacks the instance's proof or was modified in transit",
        ));
    }
    in_flight.record_progress(now);
    if parts.status == StatusCode::OK && head.is_event_stream {
        return Ok(StreamHead::Stream(Box::new(StreamSource {
            parts: Some(Box::new(parts)),
            head,
            body,
            deadline: close_at_deadline(&link, request),
            link,
            decoder: EventDecoder::default(),
            held: in_flight.load().response_budget.share(),
            event_count: 0,
            has_content: false,
            has_ended: false,
        })));
    }
    let headers = wire.response_headers(&parts);
    let budget = in_flight.load().response_budget.clone();
    Ok(StreamHead::Other(Box::pin(async move {
        let response = read_rest(body, parts, headers, &budget).await;
        // The rest is read through the connection.
        drop(link);
        response
    })))
}

/// Closes a connection at the deadline of a request, unless the result is dropped before.
fn close_at_deadline(link: &InstanceLink, request: &AdmittedRequest) -> ConnectionDeadline {
    let deadline = request.deadline.clone();
    link.close_after(async move { deadline.passed().await })
}

async fn read_rest(
    mut body: Incoming,
    parts: response::Parts,
    headers: HeaderMap,
    budget: &BodyBudget,
) -> Result<Response<ResponseBody>, AttemptFailure> {
    let body = collect_body(&mut body, MAX_NON_STREAM_BYTES, budget).await;
    let body = body.map_err(|error| {
        AttemptFailure::unknown(format_smolstr!(
            "the response body was not read to its end: {error}"
        ))
    })?;
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = headers;
    Ok(response)
}
