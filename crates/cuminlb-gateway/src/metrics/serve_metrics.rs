//! The metrics endpoint.

use std::convert::Infallible;
use std::sync::Arc;

use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::{debug, warn};
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;

/// Serves the metrics as text until `stop` is cancelled.
pub(crate) async fn serve_metrics(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let registry = Arc::new(gateway.metrics.registry());
    let mut connections = accept_connections(listener, &stop, |stream| {
        let (gateway, registry) = (Arc::clone(&gateway), Arc::clone(&registry));
        async move {
            let service = service_fn(move |_| {
                let response = encode_metrics(&gateway, &registry);
                async move { Ok::<_, Infallible>(response) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                debug!("metrics connection failed: {error}");
            }
        }
    })
    .await;
    connections.shutdown().await;
}

fn encode_metrics(gateway: &Gateway, registry: &Registry) -> Response<Full<bytes::Bytes>> {
    gateway.update_gauges();
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => Response::new(Full::from(text)),
        Err(error) => {
            warn!("failed to encode the metrics: {error}");
            let mut response = Response::new(Full::default());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
