//! Admission of caller requests: validates a request, finds its route and reads its body.

use std::time::Duration;

use bytes::Bytes;
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::{Request, request};
use hyper::body::Incoming;
use smol_str::ToSmolStr;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::caller_connection::CallerConnection;
use super::crash_causes::crash_causes;
use super::draining_refusal::draining_refusal;
use super::examined_request::ExaminedRequest;
use super::read_body::{discard_body, read_body};
use super::request_deadline::RequestDeadline;
use crate::gateway::Gateway;

/// Validates a request, resolves its route and service, and reads its body.
///
/// The body of a request that is refused is read too, as far as the catalog allows, so that the
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
    let (parts, body) = request.into_parts();
    let examined = match ExaminedRequest::examine(gateway, &parts, received_at) {
        Ok(examined) => examined,
        Err(refused) => {
            let max_body_bytes = gateway.caller_bounds().max_body_bytes;
            let caller_timeout = caller_timeout(gateway, &parts);
            let was_read = tokio::select! {
                biased;
                was_read = discard_body(&parts, body, max_body_bytes, caller_timeout) => was_read,
                () = gateway.drain.answers_due() => false,
            };
            if !was_read {
                connection.leave_body_unread();
            }
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
    let body = read_body_in_time(connection, body, max_body_bytes, &deadline).await;
    let body = body.map_err(|refusal| (refusal, Some(head.id.clone())))?;
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
/// Returns the refusal of a request whose body is too large or late.
async fn read_body_in_time(
    connection: &CallerConnection,
    body: Incoming,
    max_body_bytes: ByteCount,
    deadline: &RequestDeadline,
) -> Result<Bytes, Refusal> {
    let body = tokio::select! {
        biased;
        body = read_body(body, max_body_bytes, deadline.latest()) => body,
        () = deadline.start_expired() => {
            connection.leave_body_unread();
            return Err(draining_refusal());
        }
    };
    let body = body.map_err(|kind| {
        connection.leave_body_unread();
        Refusal::not_run(kind)
    })?;
    if !deadline.may_start() {
        return Err(draining_refusal());
    }
    Ok(body)
}

/// Returns how long a caller waits, if the head of its request is valid and contains it.
fn caller_timeout(gateway: &Gateway, parts: &request::Parts) -> Option<Duration> {
    let head = gateway.edges.wire.read_request(parts).ok()?;
    head.caller_timeout_ms.map(Millis::duration)
}
