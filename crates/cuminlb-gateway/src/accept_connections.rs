//! The accept loop that the servers of a node share.

use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Accepts connections until `stop` is cancelled and serves each in its own task; returns the tasks
/// that are still running.
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
            () = stop.cancelled() => return connections,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                connections.spawn(serve(stream));
            }
            Err(error) => warn!("failed to accept a connection: {error}"),
        }
    }
}
