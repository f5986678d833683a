//! [`accept_connections`].

use log::warn;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Accepts connections until `stop` is cancelled and serves each in a task of its own; returns
/// those that are left.
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
            Err(error) => warn!("a connection can't be accepted: {error}"),
        }
    }
}
