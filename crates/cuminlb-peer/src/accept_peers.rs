//! The accept loop that the servers of this crate share.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use log::{debug, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::link_activity::LinkActivity;
use crate::link_silence::MAX_SILENCE;
use crate::transport::set_nodelay;
use crate::watched_stream::WatchedStream;
use crate::{PeerToken, PendingHandshakes};

/// The pause after a failure, such as a lack of file descriptors, which lasts for a while.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Accepts connections until `stop` is cancelled, and runs `serve` on each one that presents the
/// token.
///
/// Each connection has a task of its own, which ends if nothing is sent or received for
/// [`MAX_SILENCE`]; all tasks are joined before this function returns.
pub(crate) async fn accept_peers<F, S>(
    listener: TcpListener,
    token: PeerToken,
    stop: CancellationToken,
    serve: F,
) where
    F: Fn(WatchedStream) -> S + Clone + Send + 'static,
    S: Future<Output = ()> + Send + 'static,
{
    let handshakes = Arc::new(PendingHandshakes::default());
    let mut connections = JoinSet::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => continue,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let (handshakes, token) = (Arc::clone(&handshakes), token.clone());
                let session = authenticate_and_serve(handshakes, stream, token, serve.clone());
                let stop = stop.clone();
                connections.spawn(async move {
                    tokio::select! {
                        () = stop.cancelled() => {}
                        () = session => {}
                    }
                });
            }
            Err(error) if error.kind() == ErrorKind::ConnectionAborted => {}
            Err(error) => {
                warn!("failed to accept a peer connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    while connections.join_next().await.is_some() {}
}

async fn authenticate_and_serve<F, S>(
    handshakes: Arc<PendingHandshakes>,
    mut stream: TcpStream,
    token: PeerToken,
    serve: F,
) where
    F: Fn(WatchedStream) -> S,
    S: Future<Output = ()>,
{
    if let Err(error) = handshakes.run(&token, &mut stream).await {
        debug!("closed a connection to the peer port: {error}");
        return;
    }
    set_nodelay(&stream);
    let activity = Arc::new(LinkActivity::new());
    let stream = WatchedStream::new(stream, Arc::clone(&activity));
    tokio::select! {
        () = serve(stream) => {}
        () = activity.silent_for(MAX_SILENCE) => debug!("closed a silent connection of a peer"),
    }
}
