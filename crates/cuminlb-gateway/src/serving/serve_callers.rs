//! The HTTP server for callers.

use std::sync::Arc;

use log::{info, warn};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::serve_connection::serve_connection;
use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;

/// Serves callers, with one task for each connection.
///
/// When `stop` is cancelled, each connection ends after its current request. Connections that
/// remain late in the grace of the node's stop are aborted.
pub(crate) async fn serve_callers(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let mut connections = accept_connections(listener, &stop, |stream| {
        serve_connection(Arc::clone(&gateway), stream, stop.clone())
    })
    .await;
    let remaining = connections.len();
    info!(connections = remaining; "front closed");
    let ended = async { while connections.join_next().await.is_some() {} };
    tokio::select! {
        () = ended => return,
        () = gateway.drain.aborts() => {}
    }
    warn!(
        connections = connections.len();
        "drain timed out; aborting the remaining connections"
    );
    connections.shutdown().await;
}
