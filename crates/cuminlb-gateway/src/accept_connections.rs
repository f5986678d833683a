//! The accept loop that the servers of a node share.

use std::io::{self, ErrorKind};
use std::time::Duration;

use futures_util::FutureExt;
use log::{error, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, unconstrained, yield_now};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

/// The pause after a failure, such as a lack of file descriptors, which lasts for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long the connections that are established at a stop are accepted.
const SWEEP_TIMEOUT: Duration = Duration::from_millis(500);

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
            Err(error) => retry_after(&error).await,
        }
    }
    // The sockets of connections that wait are reported as ready only after a turn of the runtime.
    yield_now().await;
    let sweep_end = Instant::now() + SWEEP_TIMEOUT;
    while Instant::now() < sweep_end {
        match unconstrained(listener.accept()).now_or_never() {
            Some(Ok((stream, _))) => {
                connections.spawn(serve(stream));
            }
            Some(Err(error)) => retry_after(&error).await,
            None => break,
        }
    }
    connections
}

/// Waits until another connection may be accepted after a failure.
async fn retry_after(error: &io::Error) {
    if error.kind() != ErrorKind::ConnectionAborted {
        warn!("failed to accept a connection: {error}");
        sleep(ACCEPT_RETRY_DELAY).await;
    }
}
