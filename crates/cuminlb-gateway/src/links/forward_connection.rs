//! Serving the requests on one connection from another node.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;

use cuminlb_peer::PendingHandshakes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use super::forward_deadline::ForwardDeadline;
use super::forward_request::forward_request;
use crate::gateway::Gateway;

/// Forwards the requests on a connection, once the other node has presented the peer token.
///
/// When `stop` is cancelled, the connection ends after its current request.
pub(super) async fn forward_connection(
    gateway: Arc<Gateway>,
    handshakes: Arc<PendingHandshakes>,
    mut stream: TcpStream,
    stop: CancellationToken,
) {
    let token = gateway.peers.token();
    if let Err(error) = handshakes.run(&token, &mut stream).await {
        debug!("closed a connection to the forwarding port: {error}");
        return;
    }
    if let Err(error) = stream.set_nodelay(true) {
        debug!("failed to set TCP_NODELAY on a connection for forwarding: {error}");
    }
    let deadline = ForwardDeadline::new();
    let service = service_fn(|request| {
        let (gateway, deadline) = (&gateway, &deadline);
        async move { Ok::<_, Infallible>(forward_request(gateway, deadline, request).await) }
    });
    let mut connection =
        pin!(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = deadline.passed() => return,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            tokio::select! {
                ended = connection => ended,
                () = deadline.passed() => return,
            }
        }
    };
    if let Err(error) = ended {
        debug!("a connection for forwarding failed: {error}");
    }
}
