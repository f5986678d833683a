//! Runs one HTTP server until it is told to stop.

use std::net::SocketAddr;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::prelude::*;
use smol_str::ToSmolStr;
use tokio_util::sync::CancellationToken;

use crate::ServeError;

/// Binds an address.
///
/// # Errors
///
/// Returns [`ServeError::Bind`] when the address can't be listened on.
pub(crate) async fn bind(address: SocketAddr) -> Result<TcpAcceptor, ServeError> {
    TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|error| ServeError::Bind {
            address,
            reason: error.to_smolstr(),
        })
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
