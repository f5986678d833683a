//! One attempt to run a request whose response is not a stream.

use std::sync::{Arc, OnceLock};

use bytes::Bytes;
use cuminlb_catalog::{Forwarding, ResponseHead};
use cuminlb_peer::ForwardOrder;
use cuminlb_routing::{BudgetError, ResponseOwner, request_urgency};
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::in_flight_guard::InFlightGuard;
use super::response_body::{ResponseBody, full_body};
use super::target::Target;
use crate::collect_body::{CollectError, collect_body};
use crate::gateway::Gateway;
use crate::links::{ExchangePlace, InstanceLink};
use crate::upstream::SendFailure;

/// Size limit of a plain response, which is buffered completely.
const MAX_RESPONSE_BYTES: ByteCount = ByteCount(8 << 20);

/// Sends a request to an instance and returns its complete response.
pub(super) async fn plain_exchange(
    gateway: &Arc<Gateway>,
    request: &AdmittedRequest,
    target: &Target,
    place: &OnceLock<ExchangePlace>,
) -> Result<(ResponseHead, Response<ResponseBody>), AttemptFailure> {
    let in_flight = gateway
        .loads
        .start_request(target, request.load_key(gateway));
    let wire = gateway.edges.wire.as_ref();
    let opened = InstanceLink::open(gateway, target, &request.head.id).await;
    let mut link = opened.map_err(|failure| record_failure(&in_flight, failure))?;
    let _first = place.set(link.next_place());
    let outgoing = forwarded_request(gateway, request, target, request.head.resume_after);
    let order = forward_order(request, target);
    let sent_at = Instant::now();
    let sent = link.send(gateway, &order, outgoing).await;
    let response = sent.map_err(|failure| record_failure(&in_flight, failure))?;
    link.record_contact(gateway, &target.instance, Instant::now());
    let (parts, mut body) = response.into_parts();
    let head = wire
        .read_response(&parts)
        .inspect_err(|_invalid| in_flight.load().record_outcome(true))?;
    gateway.record_leaving(target, &head);
    check_owner(request, &head, &link)?;
    gateway.record_limit(&target.instance, target.incarnation, &head, sent_at);
    let budget = &in_flight.load().response_budget;
    let body = collect_body(&mut body, MAX_RESPONSE_BYTES, budget).await;
    let body = body.map_err(|error| {
        let is_own_fault = error != CollectError::Budget(BudgetError::NodeHoldsTooMuch);
        if is_own_fault {
            in_flight.load().record_outcome(true);
        }
        AttemptFailure::unknown(format_smolstr!(
            "the response body was not read to its end: {error}"
        ))
    })?;
    in_flight.record_progress(Instant::now());
    if !head.closes {
        link.release(gateway, head.keep_alive_ms);
    }
    if let Some(delay_ms) = head.refusal_delay() {
        gateway
            .retry_times
            .record(&target.instance, delay_ms, Instant::now());
    }
    if head.is_not_executed {
        in_flight.load().record_refusal(Instant::now());
        return Err(AttemptFailure::NotRun {
            reason: refusal_reason(&head),
            has_reached_instance: true,
        });
    }
    if !head.is_attested || head.is_encoded {
        in_flight.load().record_outcome(true);
        return Err(AttemptFailure::unknown(
            "the response lacks the instance's proof or was modified in transit",
        ));
    }
    in_flight
        .load()
        .record_outcome(head.status.is_server_error());
    let mut response = Response::new(full_body(body));
    *response.status_mut() = parts.status;
    *response.headers_mut() = wire.response_headers(&parts);
    Ok((head, response))
}

/// Checks that a response belongs to a request. Any other proves nothing, so the request may have run; the
/// caller drops the connection.
pub(super) fn check_owner(
    request: &AdmittedRequest,
    head: &ResponseHead,
    link: &InstanceLink,
) -> Result<(), AttemptFailure> {
    match link.owner(head.request.as_ref(), &request.head.id) {
        ResponseOwner::Request => Ok(()),
        ResponseOwner::Other => Err(AttemptFailure::unknown(
            "the response belongs to another request",
        )),
        ResponseOwner::Unknown => Err(AttemptFailure::unknown(
            "the response may be one to an earlier request",
        )),
    }
}

/// Returns what shows that an instance has refused a request.
pub(super) fn refusal_reason(head: &ResponseHead) -> SmolStr {
    let named = if head.request.is_some() {
        ""
    } else {
        " and no id"
    };
    format_smolstr!("refused with status {}{named}", head.status)
}

/// Returns the request as it is forwarded to an instance.
pub(super) fn forwarded_request(
    gateway: &Gateway,
    request: &AdmittedRequest,
    target: &Target,
    resume_after: Option<EventId>,
) -> Request<Full<Bytes>> {
    let forwarding = Forwarding {
        instance: target.instance.clone(),
        team: request.team.as_ref().map(|team| team.id.clone()),
        remaining_ms: request.remaining_ms(Instant::now()),
        resume_after,
        urgency: request_urgency(
            request.priority(),
            &request.head.id,
            resume_after,
            target.class,
        ),
    };
    let parts = gateway.edges.wire.forward(&request.parts, &forwarding);
    Request::from_parts(parts, Full::new(request.body.clone()))
}

/// Returns what a node that forwards a request is told about it.
pub(super) fn forward_order(request: &AdmittedRequest, target: &Target) -> ForwardOrder {
    ForwardOrder {
        instance: target.instance.clone(),
        incarnation: target.incarnation,
        request: request.head.id.clone(),
        remaining_ms: request.remaining_ms(Instant::now()),
    }
}

/// Records a failed send, which counts against the instance unless no node reaches any.
fn record_failure(in_flight: &InFlightGuard, failure: SendFailure) -> AttemptFailure {
    if failure != SendFailure::NoForwarder {
        in_flight.load().record_outcome(true);
    }
    from_send_failure(failure)
}

/// Converts a failed send into the failure of an attempt, by whether the request may have run.
pub(super) fn from_send_failure(failure: SendFailure) -> AttemptFailure {
    match failure {
        SendFailure::NotConnected { reason, failure } => {
            AttemptFailure::NotConnected { reason, failure }
        }
        SendFailure::NoForwarder | SendFailure::NotSent { .. } => AttemptFailure::NotRun {
            reason: failure.to_smolstr(),
            has_reached_instance: false,
        },
        SendFailure::NoResponse { .. } => AttemptFailure::ConnectionLost {
            reason: failure.to_smolstr(),
        },
    }
}
