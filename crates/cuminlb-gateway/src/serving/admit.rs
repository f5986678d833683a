//! Admission of caller requests: validates a request, finds its route and reads its body.

use std::time::Duration;

use bytes::Bytes;
use cuminlb_routing::{BodyBudget, Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::{Request, request};
use hyper::body::Incoming;
use smol_str::ToSmolStr;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::bodies_held_refusal::bodies_held_refusal;
use super::caller_connection::CallerConnection;
use super::crash_causes::crash_causes;
use super::draining_refusal::draining_refusal;
use super::examined_request::ExaminedRequest;
use super::read_body::{discard_body, read_body};
use super::request_deadline::RequestDeadline;
use crate::gateway::Gateway;

/// Validates a request, resolves its route and service, and reads its body.
///
/// The body of a request that is refused is read too, also if this node can't hold it, as far as the catalog allows, so that the
/// connection can carry the next request. A request whose body is complete too late for a node that
/// stops is refused.
///
/// # Errors
///
/// Returns the refusal, and the id of the request if its headers could be read.
pub(super) async fn admit(
    gateway: &Gateway,
    connection: &CallerConnection,
    request: Request<Incoming>,
) -> Result<AdmittedRequest, (Refusal, Option<RequestId>)> {
    let received_at = Instant::now();
    let (parts, mut body) = request.into_parts();
    let examined = match ExaminedRequest::examine(gateway, &parts, received_at) {
        Ok(examined) => examined,
        Err(refused) => {
            discard_in_time(gateway, connection, &parts, body).await;
            return Err(refused);
        }
    };
    let ExaminedRequest {
        head,
        route,
        team,
        deadline,
        max_body_bytes,
    } = examined;
    connection.record_request(head.id.clone());
    let refuse = |kind| (Refusal::not_run(kind), Some(head.id.clone()));
    connection.activity().record_deadline(deadline.latest());
    let budget = &gateway.body_budgets.requests;
    let read = read_body_in_time(connection, &mut body, max_body_bytes, &deadline, budget).await;
    let body = match read {
        Ok(body) => body,
        Err(refusal) => {
            if matches!(refusal.kind, RefusalKind::BodiesHeld) {
                discard_in_time(gateway, connection, &parts, body).await;
            }
            return Err((refusal, Some(head.id)));
        }
    };
    let path = parts.uri.path();
    let Some(service) = route.pick_service(&mut rand::rng()).cloned() else {
        let name = path.to_smolstr();
        return Err(refuse(RefusalKind::UnknownService { name }));
    };
    let secret = gateway.settings.peer_token.as_str();
    let crash_causes = crash_causes(secret, &head, team.as_ref(), &service, path, &body);
    Ok(AdmittedRequest {
        crash_causes,
        is_probe: false,
        parts,
        head,
        body,
        route,
        service,
        team,
        received_at,
        deadline,
    })
}

/// Reads a body, while a node that stops can still pass the request on.
///
/// # Errors
///
/// Returns the refusal of a request whose body is too large or late, or that this node can't hold.
async fn read_body_in_time(
    connection: &CallerConnection,
    body: &mut Incoming,
    max_body_bytes: ByteCount,
    deadline: &RequestDeadline,
    budget: &BodyBudget,
) -> Result<Bytes, Refusal> {
    let body = tokio::select! {
        biased;
        body = read_body(body, max_body_bytes, deadline.latest(), budget) => body,
        () = deadline.start_expired() => {
            connection.leave_body_unread();
            return Err(draining_refusal());
        }
    };
    let body = body.map_err(|kind| match kind {
        RefusalKind::BodiesHeld => bodies_held_refusal(),
        kind => {
            connection.leave_body_unread();
            Refusal::not_run(kind)
        }
    })?;
    if !deadline.may_start() {
        return Err(draining_refusal());
    }
    Ok(body)
}

/// Reads and discards the body of a request that is refused, while a node that stops can wait for it.
async fn discard_in_time(
    gateway: &Gateway,
    connection: &CallerConnection,
    parts: &request::Parts,
    body: Incoming,
) {
    let max_body_bytes = gateway.caller_bounds().max_body_bytes;
    let caller_timeout = caller_timeout(gateway, parts);
    let was_read = tokio::select! {
        biased;
        was_read = discard_body(parts, body, max_body_bytes, caller_timeout) => was_read,
        () = gateway.drain.answers_due() => false,
    };
    if !was_read {
        connection.leave_body_unread();
    }
}

/// Returns how long a caller waits, if the head of its request is valid and contains it.
fn caller_timeout(gateway: &Gateway, parts: &request::Parts) -> Option<Duration> {
    let head = gateway.edges.wire.read_request(parts).ok()?;
    head.caller_timeout_ms.map(Millis::duration)
}
