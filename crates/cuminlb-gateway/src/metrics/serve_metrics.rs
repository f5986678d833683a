//! The metrics endpoint.

use std::sync::Arc;

use bytes::Bytes;
use http::{Response, StatusCode};
use log::warn;
use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;
use crate::serving::serve_local;

/// Serves the metrics as text until `stop` is cancelled.
pub(crate) async fn serve_metrics(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let registry = Arc::new(gateway.metrics.registry());
    let mut connections = accept_connections(listener, &stop, |stream| {
        let (gateway, registry) = (Arc::clone(&gateway), Arc::clone(&registry));
        async move { serve_local(&gateway, stream, || encode_metrics(&gateway, &registry)).await }
    })
    .await;
    connections.shutdown().await;
}

fn encode_metrics(gateway: &Gateway, registry: &Registry) -> Response<Bytes> {
    gateway.update_gauges();
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => Response::new(Bytes::from(text)),
        Err(error) => {
            warn!("failed to encode the metrics: {error}");
            let mut response = Response::new(Bytes::new());
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
}
