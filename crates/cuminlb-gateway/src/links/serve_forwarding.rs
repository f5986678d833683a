//! The server for the requests that other nodes have this one forward.

use std::sync::Arc;
use std::time::Duration;

use log::warn;
use tokio::net::TcpListener;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::forward_connection::forward_connection;
use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;

/// Forwards requests of other nodes, with one task for each connection.
///
/// When `stop` is cancelled, each connection ends after its current request. Connections that remain
/// after `drain_timeout` are aborted.
pub(crate) async fn serve_forwarding(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
    drain_timeout: Duration,
) {
    let mut connections = accept_connections(listener, &stop, |stream| {
        forward_connection(Arc::clone(&gateway), stream, stop.clone())
    })
    .await;
    let ended = async { while connections.join_next().await.is_some() {} };
    if timeout(drain_timeout, ended).await.is_err() {
        warn!(connections = connections.len(); "aborting forwarded requests");
        connections.shutdown().await;
    }
}
