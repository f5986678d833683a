//! The readiness endpoint for the load balancer.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::serve_local::serve_local;
use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;

/// Reports to the load balancer whether this node accepts callers, until `stop` is cancelled.
pub(crate) async fn serve_ready(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let mut connections = accept_connections(listener, &stop, |stream| {
        let gateway = Arc::clone(&gateway);
        async move { serve_local(&gateway, stream, || readiness(&gateway)).await }
    })
    .await;
    connections.shutdown().await;
}

fn readiness(gateway: &Gateway) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}
