//! Serving a connection of the load balancer or of a reader of the metrics.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminlb_routing::ConnectionLimits;
use http::{Request, Response};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;

use super::caller_connection::CallerConnection;
use super::caller_stream::CallerStream;
use super::guarded_body::GuardedBody;
use super::refuse_head::refuse_head;
use super::request_guard::RequestGuard;
use super::response_body::full_body;
use super::run_connection::run_connection;
use crate::gateway::Gateway;

/// How long a connection may wait. The load balancer asks once a second.
const LIMITS: ConnectionLimits = ConnectionLimits {
    idle_timeout: Duration::from_secs(5),
    head_timeout: Duration::from_secs(2),
    send_timeout: Duration::from_secs(5),
};

/// The maximum length of a head in bytes. Those of the load balancer and of metrics readers are short.
const MAX_HEAD_LEN: usize = 16 << 10;

/// Responds to all requests on a connection until it ends or has been silent for too long.
pub(crate) async fn serve_local(
    gateway: &Gateway,
    stream: TcpStream,
    respond: impl Fn() -> Response<Bytes>,
) {
    let state = Arc::new(CallerConnection::new(&gateway.body_budgets));
    let stream = CallerStream::new(stream, Arc::clone(&state), || MAX_HEAD_LEN);
    let service = service_fn(|request: Request<Incoming>| {
        let has_body = !request.body().is_end_stream();
        let guard = RequestGuard::new(Arc::clone(&state), has_body);
        let response = respond().map(|body| GuardedBody::new(full_body(body), guard));
        async move { Ok::<_, Infallible>(response) }
    });
    let mut connection = http1::Builder::new()
        // Connections are closed by their limits below.
        .header_read_timeout(None)
        .serve_connection(TokioIo::new(stream), service);
    match run_connection(&mut connection, &state, || LIMITS).await {
        Some(Ok(())) => {}
        Some(Err(error)) => debug!("local connection failed: {error}"),
        None => debug!("local connection expired: {:?}", state.activity()),
    }
    let parts = connection.into_parts();
    drop(parts.read_buf);
    refuse_head(gateway, &state, &parts.io.into_inner().into_inner());
}
