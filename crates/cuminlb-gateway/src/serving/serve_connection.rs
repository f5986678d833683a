//! Serving the requests on one connection of a caller.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use cuminlb_routing::ConnectionLimits;
use cuminlb_types::prelude::*;
use http::{Method, Request};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, info};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::caller_connection::CallerConnection;
use super::caller_stream::CallerStream;
use super::contain_panic::contain_panic;
use super::discard_rest::discard_rest;
use super::examined_request::HEAD_TOLERANCE_BYTES;
use super::guarded_body::GuardedBody;
use super::handle_request::handle_request;
use super::refuse_head::refuse_head;
use super::request_guard::RequestGuard;
use super::run_connection::run_connection;
use crate::gateway::Gateway;

/// How much larger than the catalog's limit on heads the read buffer of a connection may become, which
/// can't change when a newer catalog allows larger heads. What a connection reads is bounded by the newest
/// catalog.
const SPARE_BUFFER_BYTES: usize = 256 << 10;

/// How much of a head is not counted by its limit: the separators of its lines, the host in an absolute
/// URI, and empty lines before it.
const HEAD_FRAMING_BYTES: u64 = 4 << 10;

/// The time after which an idle connection is closed while the node stops.
const STOP_IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Serves the requests on a connection, by the limits of the newest catalog.
///
/// When `stop` is cancelled, the connection ends after its current request, or soon if it is idle.
pub(super) async fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("failed to set TCP_NODELAY on a caller connection: {error}");
    }
    let state = Arc::new(CallerConnection::new(&gateway.body_budgets));
    let stream = CallerStream::new(stream, Arc::clone(&state), || max_head_len(&gateway));
    let limits = || connection_limits(&gateway, &stop);
    let service = service_fn(|request: Request<Incoming>| {
        let has_body = !request.body().is_end_stream();
        let mut guard = RequestGuard::new(Arc::clone(&state), has_body);
        let has_response_body = request.method() != Method::HEAD;
        let (gateway, state) = (&gateway, &state);
        async move {
            let handling = handle_request(gateway, state, request);
            let response = contain_panic(gateway, state, handling).await;
            if !has_response_body {
                guard.record_answered();
            }
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, guard)))
        }
    });
    let mut connection = http1::Builder::new()
        // Connections are closed by their limits below, which may change.
        .header_read_timeout(None)
        .max_buf_size(max_head_len(&gateway).saturating_add(SPARE_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = run_connection(&mut connection, &state, limits) => ended,
        () = stop.cancelled() => run_connection(&mut connection, &state, limits).await,
    };
    let is_malformed = match &ended {
        Some(Err(error)) => {
            debug!("caller connection failed: {error}");
            error.is_parse()
        }
        Some(Ok(())) => false,
        None => {
            debug!("caller connection expired: {:?}", state.activity());
            false
        }
    };
    let has_ended_in_order = matches!(ended, Some(Ok(())));
    // A node that stops needs the files of idle connections for callers that wait.
    let is_watched = state.activity().is_idle() && !stop.is_cancelled();
    let parts = connection.into_parts();
    let unread_bytes = ByteCount(parts.read_buf.len() as u64);
    // The rest is discarded without what was read before, which may be much on many connections.
    drop(parts.read_buf);
    let stream = parts.io.into_inner().into_inner();
    let is_refused = refuse_head(&gateway, &state, &stream);
    if has_ended_in_order || state.has_unread_body() || is_malformed || is_watched || is_refused {
        match discard_rest(stream).await {
            Ok(late_bytes) if !is_refused => {
                log_late_bytes(&state, ended.is_none(), unread_bytes, late_bytes);
            }
            Ok(_rest_of_head) => {}
            Err(error) => debug!("caller connection failed while it was closed: {error}"),
        }
    }
}

/// Returns how much of a head may be received before it is complete, by the newest catalog.
fn max_head_len(gateway: &Gateway) -> usize {
    let max_head_bytes = gateway.caller_bounds().max_head_bytes.get();
    let max_bytes = max_head_bytes.saturating_add(HEAD_TOLERANCE_BYTES + HEAD_FRAMING_BYTES);
    usize::try_from(max_bytes).unwrap_or(usize::MAX)
}

/// Logs that a caller has sent more than was handled on a connection that this node closed. Such a
/// request ends without an answer, and nothing else tells of it.
fn log_late_bytes(
    state: &CallerConnection,
    has_expired: bool,
    unread_bytes: ByteCount,
    late_bytes: ByteCount,
) {
    if unread_bytes.get() == 0 && late_bytes.get() == 0 || state.has_unread_body() {
        return;
    }
    info!(
        has_expired = has_expired, unread_bytes = unread_bytes.get(),
        late_bytes = late_bytes.get(), requests = state.request_count();
        "caller sent more on a connection that was closed"
    );
}

fn connection_limits(gateway: &Gateway, stop: &CancellationToken) -> ConnectionLimits {
    let bounds = gateway.caller_bounds();
    let idle_timeout = bounds.idle_timeout_ms.duration();
    ConnectionLimits {
        idle_timeout: if stop.is_cancelled() {
            idle_timeout.min(STOP_IDLE_TIMEOUT)
        } else {
            idle_timeout
        },
        head_timeout: bounds.head_timeout_ms.duration(),
        send_timeout: idle_timeout,
    }
}
