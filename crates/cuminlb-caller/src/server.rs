//! Runs one HTTP server until it is told to stop.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::{Router, Server};
use smol_str::ToSmolStr;
use tokio::net::{TcpListener, TcpSocket};
use tokio_util::sync::CancellationToken;

use crate::ServeError;

/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 4_096;

/// Binds an address.
///
/// Accepted connections inherit `TCP_NODELAY` from the listening socket: without it the head of
/// a streamed answer and its first token are held back until the caller acknowledges the head.
///
/// # Errors
///
/// Returns [`ServeError::Bind`] when the address can't be listened on.
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
    socket.listen(BACKLOG)
}

/// Serves a router until `stop` is cancelled, and then lets requests in flight end.
pub(crate) async fn serve_until(
    acceptor: TcpAcceptor,
    router: Router,
    stop: CancellationToken,
    drain: Duration,
) {
    let server = Server::new(acceptor);
    let handle = server.handle();
    let stopper = async {
        stop.cancelled().await;
        handle.stop_graceful(drain);
        std::future::pending::<()>().await;
    };
    tokio::select! {
        () = server.serve(router) => {}
        () = stopper => {}
    }
}
