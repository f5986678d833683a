//! Binds the listening socket of an HTTP server and runs the server until shutdown.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use smol_str::ToSmolStr;
use tokio::net::{TcpListener, TcpSocket};
use tokio_util::sync::CancellationToken;

use crate::ServeError;

/// The length of the listen backlog: connections that are established but not yet accepted.
const MAX_PENDING_CONNECTIONS: u32 = 4_096;

/// Binds a listening socket to an address.
///
/// The socket has `TCP_NODELAY` set, which accepted connections inherit. Without it, Nagle's
/// algorithm delays the first token of a streamed response until the caller acknowledges the
/// response head.
///
/// # Errors
///
/// Returns [`ServeError::Bind`] if the server can't listen on the address.
pub(crate) fn bind(address: SocketAddr) -> Result<TcpAcceptor, ServeError> {
    listen(address)
        .and_then(TcpAcceptor::try_from)
        .map_err(|error| ServeError::Bind {
            address,
            reason: error.to_smolstr(),
        })
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    socket.listen(MAX_PENDING_CONNECTIONS)
}

/// Serves a router until `stop` is cancelled, then waits up to `drain_timeout` for requests in
/// flight.
pub(crate) async fn serve_until(
    acceptor: TcpAcceptor,
    router: Router,
    stop: CancellationToken,
    drain_timeout: Duration,
) {
    let server = Server::new(acceptor);
    let handle = server.handle();
    let shutdown = async {
        stop.cancelled().await;
        handle.stop_graceful(drain_timeout);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = server.serve(router) => {}
        () = shutdown => {}
    }
}
