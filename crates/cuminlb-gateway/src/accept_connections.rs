//! The accept loop that the servers of a node share.

use std::io::ErrorKind;
use std::time::Duration;

use futures_util::FutureExt;
use log::{error, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, unconstrained, yield_now};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// The pause after a failure, such as a lack of file descriptors, which lasts for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is cancelled and serves each in its own task; returns the tasks
/// that are still running.
///
/// Connections that are established when `stop` is cancelled are accepted too.
pub(crate) async fn accept_connections<S>(
    listener: TcpListener,
    stop: &CancellationToken,
    serve: impl Fn(TcpStream) -> S,
) -> JoinSet<()>
where
    S: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            Some(joined) = connections.join_next() => {
                if let Err(error) = joined {
                    error!("the task of a connection failed: {error}");
                }
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve(stream));
            }
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!("failed to accept a connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // The sockets of connections that wait are reported as ready only after a turn of the runtime.
    yield_now().await;
    while let Some(Ok((stream, _))) = unconstrained(listener.accept()).now_or_never() {
        connections.spawn(serve(stream));
    }
    connections
}
