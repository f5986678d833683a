//! The server for the requests that other nodes have this one forward.

use std::sync::Arc;

use cuminlb_peer::PendingHandshakes;
use log::warn;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::forward_connection::forward_connection;
use crate::accept_connections::accept_connections;
use crate::gateway::Gateway;

/// Forwards requests of other nodes, with one task for each connection.
///
/// When `stop` is cancelled, each connection ends after its current request. Connections that remain
/// late in the grace of the node's stop are aborted.
pub(crate) async fn serve_forwarding(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let handshakes = Arc::new(PendingHandshakes::default());
    let mut connections = accept_connections(listener, &stop, |stream| {
        let (gateway, handshakes) = (Arc::clone(&gateway), Arc::clone(&handshakes));
        forward_connection(gateway, handshakes, stream, stop.clone())
    })
    .await;
    let ended = async { while connections.join_next().await.is_some() {} };
    tokio::select! {
        () = ended => return,
        () = gateway.drain.aborts() => {}
    }
    warn!(connections = connections.len(); "drain timed out; aborting forwarded requests");
    connections.shutdown().await;
}
