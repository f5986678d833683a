//! [`accept_peers`].

use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::PeerToken;

/// Accepts peers until `stop` is cancelled and serves each that shows the token in a task of its
/// own; all are joined at the end.
pub(crate) async fn accept_peers<F, S>(
    listener: TcpListener,
    token: PeerToken,
    stop: CancellationToken,
    serve: F,
) where
    F: Fn(TcpStream) -> S + Clone + Send + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let greeted = greet(stream, token.clone(), serve.clone());
                let stop = stop.clone();
                connections.spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = greeted => {}
                    }
                });
            }
            Err(error) => warn!("a peer's connection can't be accepted: {error}"),
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn greet<F, S>(mut stream: TcpStream, token: PeerToken, serve: F)
where
    F: Fn(TcpStream) -> S,
    S: Future<Output = ()>,
{
    match token.answer(&mut stream).await {
        Ok(()) => serve(stream).await,
        Err(error) => debug!("a connection to the peer port was closed: {error}"),
    }
}
