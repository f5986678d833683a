//! The readiness endpoint for the load balancer.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::response_body::full_body;
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
        async move {
            let service = service_fn(move |_| {
                let is_ready = gateway.is_ready();
                async move {
                    let mut response = Response::new(full_body(""));
                    if !is_ready {
                        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            let result = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = result.await {
                debug!("load balancer connection failed: {error}");
            }
        }
    })
    .await;
    connections.shutdown().await;
}
