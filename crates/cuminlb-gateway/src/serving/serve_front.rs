//! [`serve_front`].

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use cuminlb_catalog::CallerBounds;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Duration, timeout};
use tokio_util::sync::CancellationToken;

use super::answer_request::answer_request;
use crate::accept_each::accept_each;
use crate::gateway::Gateway;

/// The least buffer that the reader of a connection needs.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Serves callers, a task for each connection.
///
/// When `stop` is cancelled, connections end after the request that they are at, and `cut` ends
/// those that are left after that.
pub(crate) async fn serve_front(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
    cut: Duration,
) {
    let mut connections = accept_each(listener, &stop, |stream| {
        serve_connection(Arc::clone(&gateway), stream, stop.clone())
    })
    .await;
    let left = connections.len();
    info!(connections = left; "front closed");
    let ended = async { while connections.join_next().await.is_some() {} };
    if timeout(cut, ended).await.is_err() {
        warn!(connections = connections.len(); "the requests that are left are cut off");
        connections.shutdown().await;
    }
}

async fn serve_connection(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("a caller's connection keeps small packets back: {error}");
    }
    let bounds = gateway.knowledge.catalog().map(|catalog| catalog.bounds);
    let CallerBounds {
        max_head_bytes,
        idle_timeout_ms,
        ..
    } = bounds.unwrap_or_default();
    let requests = Arc::new(AtomicUsize::new(0));
    let served = Arc::clone(&gateway);
    let service = service_fn(move |request| {
        let gateway = Arc::clone(&served);
        requests.fetch_add(1, Ordering::Relaxed);
        async move { Ok::<_, Infallible>(answer_request(&gateway, request).await) }
    });
    let max_head = usize::try_from(max_head_bytes.get()).unwrap_or(usize::MAX);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The time counts from the end of the request before, so it also bounds idleness.
        .header_read_timeout(idle_timeout_ms.duration())
        .max_buf_size(max_head.max(MIN_HEAD_BUFFER) + MIN_HEAD_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = stop.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        debug!("a caller's connection ended: {error}");
    }
}
