//! Forwards one request of another node to an instance.

use std::sync::Arc;

use cuminlb_catalog::{InstanceEntry, InvalidStatus, ResponseHead};
use cuminlb_peer::{ForwardOrder, ForwardOutcome};
use cuminlb_routing::{BudgetShare, LinkRoute, ResponseOwner};
use cuminlb_types::prelude::*;
use http::header::{
    CONNECTION, HeaderName, PROXY_AUTHENTICATE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, Request, Response, StatusCode, Version};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use log::info;
use tokio::time::{Instant, sleep_until};

use super::forward_deadline::ForwardDeadline;
use super::forwarded_body::ForwardedBody;
use crate::gateway::Gateway;
use crate::upstream::{Connection, SendFailure};

/// The headers that concern only one connection.
const HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What a forwarded request holds in addition to its body, for its buffers.
const REQUEST_BUFFER_BYTES: usize = 64 << 10;

/// Forwards a request to the instance that its headers name, and returns the response with what came
/// of it. A response of the instance is passed on as it arrives.
pub(super) async fn forward_request(
    gateway: &Arc<Gateway>,
    connection_deadline: &ForwardDeadline,
    mut request: Request<Incoming>,
) -> Response<ForwardedBody> {
    let Ok(order) = ForwardOrder::take(request.headers_mut()) else {
        let mut response = Response::new(ForwardedBody::empty());
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let deadline = Instant::now() + order.remaining_ms.duration();
    connection_deadline.record(deadline);
    match try_forward(gateway, &order, deadline, request).await {
        Ok(response) => response,
        Err(outcome) => {
            info!(
                request:% = order.request, instance:% = order.instance, outcome:% = outcome;
                "request of another node not forwarded"
            );
            let mut response = Response::new(ForwardedBody::empty());
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            outcome.write(response.headers_mut());
            response
        }
    }
}

async fn try_forward(
    gateway: &Arc<Gateway>,
    order: &ForwardOrder,
    deadline: Instant,
    request: Request<Incoming>,
) -> Result<Response<ForwardedBody>, ForwardOutcome> {
    // Refusing with an unread body would reset the connection, and the outcome with it.
    let (request, share) = read_request(gateway, request).await?;
    let entry = find_instance(gateway, order)?;
    let mut connection = connect(gateway, &entry, &order.request).await?;
    let sent_at = Instant::now();
    let sent = tokio::select! {
        sent = connection.send(&order.request, request) => sent,
        () = sleep_until(deadline) => return Err(ForwardOutcome::NoResponse),
    };
    let response = sent.map_err(|failure| match failure {
        SendFailure::NotSent { .. } => ForwardOutcome::NotSent,
        _ => ForwardOutcome::NoResponse,
    })?;
    gateway.links.record_contact(&entry.id, Instant::now());
    let (mut parts, body) = response.into_parts();
    let head = gateway.edges.wire.read_response(&parts).map_err(|error| {
        log_invalid_status(order, error, &connection);
        ForwardOutcome::NoResponse
    })?;
    record_head(gateway, &entry, &head);
    if head.is_not_executed {
        log_refusal(order, &head, &connection);
    }
    let owner = connection.owner(head.request.as_ref(), &order.request);
    // The codings of a transfer end here, so that the asking node can't see them.
    if owner != ResponseOwner::Request || head.is_encoded {
        return Err(ForwardOutcome::NoResponse);
    }
    gateway.record_limit(&entry.id, entry.incarnation, &head, sent_at);
    let outcome = if head.ends_with_connection {
        ForwardOutcome::ReachedUndelimited
    } else {
        ForwardOutcome::Reached
    };
    remove_hop_headers(&mut parts.headers);
    // The body of an HTTP/1.0 response would end with the connection, however it has ended.
    parts.version = Version::HTTP_11;
    outcome.write(&mut parts.headers);
    gateway.metrics.forwarded_for_others.inc();
    let closes_at = connection.close_after(sleep_until(deadline));
    let body = ForwardedBody::new(gateway, &entry.id, &head, connection, body)
        .with_guards(closes_at, share);
    Ok(Response::from_parts(parts, body))
}

/// Finds the instance, if this node may send to it.
fn find_instance(gateway: &Gateway, order: &ForwardOrder) -> Result<InstanceEntry, ForwardOutcome> {
    if gateway.is_draining() {
        return Err(ForwardOutcome::Busy);
    }
    if gateway.links.lost_since().is_some() {
        return Err(ForwardOutcome::NoLinks);
    }
    let directory = gateway.knowledge.directory();
    let entry = directory.find_instance(&order.instance);
    let is_known = |entry: &&InstanceEntry| {
        entry.incarnation == order.incarnation
            && gateway.links.route(&entry.id) == LinkRoute::Direct
    };
    let entry = entry.filter(is_known);
    let entry = entry.ok_or(ForwardOutcome::UnknownInstance)?;
    let now = Instant::now();
    if entry.is_leaving {
        return Err(ForwardOutcome::Leaving);
    }
    // Both may pass, and the other node may already know that they have.
    if !directory.is_listed(&entry.id, now) || directory.zones_out.contains(&entry.zone) {
        return Err(ForwardOutcome::UnknownInstance);
    }
    if let Some(until) = gateway.retry_times.until(&entry.id, now) {
        let retry_after_ms = Millis::from(until.duration_since(now));
        return Err(ForwardOutcome::Unavailable { retry_after_ms });
    }
    Ok(entry.clone())
}

/// Reads a request as a whole, if this node can hold it.
async fn read_request(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<(Request<Full<bytes::Bytes>>, BudgetShare), ForwardOutcome> {
    let max_bytes = gateway.caller_bounds().max_body_bytes;
    let size_hint = request.body().size_hint();
    let size = ByteCount(size_hint.upper().unwrap_or(max_bytes.get()));
    let limit = usize::try_from(size.get()).unwrap_or(usize::MAX);
    let mut share = gateway.body_budgets.forwarded.share();
    share
        .resize(limit.saturating_add(REQUEST_BUFFER_BYTES))
        .map_err(|_too_much| ForwardOutcome::Busy)?;
    let (mut parts, body) = request.into_parts();
    remove_hop_headers(&mut parts.headers);
    let body = Limited::new(body, limit).collect().await;
    let body = body.map_err(|_interrupted| ForwardOutcome::NotSent)?;
    Ok((
        Request::from_parts(parts, Full::new(body.to_bytes())),
        share,
    ))
}

/// Connects to an instance for a request. That it accepts no connection counts against it only if this
/// node reaches another one.
async fn connect(
    gateway: &Gateway,
    entry: &InstanceEntry,
    request: &RequestId,
) -> Result<Connection, ForwardOutcome> {
    if let Some(connection) = gateway.pool.take_idle(entry.address, request) {
        return Ok(connection);
    }
    let started_at = Instant::now();
    match gateway.pool.connect_new(entry.address).await {
        Ok(connection) => {
            gateway.record_opened(&entry.id);
            Ok(connection)
        }
        Err(_) if gateway.reaches_another(&entry.id, started_at).await => {
            Err(ForwardOutcome::NotConnected)
        }
        Err(_) => Err(ForwardOutcome::NoLinks),
    }
}

/// Records what an instance states about itself, which binds this node too.
fn record_head(gateway: &Gateway, entry: &InstanceEntry, head: &ResponseHead) {
    if head.is_leaving {
        gateway
            .knowledge
            .record_leaving(&entry.id, entry.incarnation);
    }
    if let Some(delay_ms) = head.refusal_delay() {
        let now = Instant::now();
        gateway.retry_times.record(&entry.id, delay_ms, now);
    }
}

/// Logs that an instance has refused a request of another node.
fn log_refusal(order: &ForwardOrder, head: &ResponseHead, connection: &Connection) {
    info!(
        request:% = order.request, instance:% = order.instance, status = head.status.get(),
        named = head.request.as_ref().map(RequestId::as_str),
        connection:% = connection.number(), exchange = connection.requests();
        "request of another node refused"
    );
}

/// Logs that an instance has answered a request of another node with a status that answers none.
fn log_invalid_status(order: &ForwardOrder, error: InvalidStatus, connection: &Connection) {
    info!(
        request:% = order.request, instance:% = order.instance, status = error.0,
        connection:% = connection.number(), exchange = connection.requests();
        "request of another node answered with an invalid status"
    );
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    for name in HOP_HEADERS {
        headers.remove(name);
    }
}
