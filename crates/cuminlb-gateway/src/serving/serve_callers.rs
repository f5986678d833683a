//! The HTTP server for callers.

use std::convert::Infallible;
use std::sync::Arc;

use cuminlb_catalog::CallerBounds;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, timeout};
use tokio_util::sync::CancellationToken;

use super::caller_connection::CallerConnection;
use super::discard_rest::discard_rest;
use super::handle_request::handle_request;
use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;

/// Minimum size of the read buffer of a connection.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// Serves callers, with one task for each connection.
///
/// When `stop` is cancelled, each connection ends after its current request. Connections that
/// remain after `drain_timeout` are aborted.
pub(crate) async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
    drain_timeout: Duration,
) {
    let mut connections = accept_connections(listener, &stop, |stream| {
        serve_connection(Arc::clone(&gateway), stream, stop.clone())
    })
    .await;
    let remaining = connections.len();
    info!(connections = remaining; "front closed");
    let ended = async { while connections.join_next().await.is_some() {} };
    if timeout(drain_timeout, ended).await.is_err() {
        warn!(
            connections = connections.len();
            "drain timed out; aborting the remaining connections"
        );
        connections.shutdown().await;
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("failed to set TCP_NODELAY on a caller connection: {error}");
    }
    let CallerBounds {
        max_head_bytes,
        idle_timeout_ms,
        ..
    } = gateway.caller_bounds();
    let state = Arc::new(CallerConnection::default());
    let request_state = Arc::clone(&state);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&gateway);
        let state = Arc::clone(&request_state);
        async move { Ok::<_, Infallible>(handle_request(&gateway, &state, request).await) }
    });
    let max_head_len = usize::try_from(max_head_bytes.get()).unwrap_or(usize::MAX);
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The timeout starts at the end of the previous request, so it also limits the idle time.
        .header_read_timeout(idle_timeout_ms.duration())
        .max_buf_size(max_head_len.max(MIN_HEAD_BUFFER_BYTES) + MIN_HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = stop.cancelled() => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    let is_malformed = ended.as_ref().is_err_and(hyper::Error::is_parse);
    if let Err(error) = ended {
        debug!("caller connection failed: {error}");
    }
    if state.has_unread_body() || is_malformed {
        let stream = connection.into_parts().io.into_inner();
        if let Err(error) = discard_rest(stream).await {
            debug!("caller connection failed while it was closed: {error}");
        }
    }
}
