//! [`serve_ready`].

use std::convert::Infallible;
use std::sync::Arc;

use http::{Response, StatusCode};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use log::debug;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::answer_body::whole_body;
use crate::accept_each::accept_each;
use crate::gateway::Gateway;

/// Tells the balancer whether this node takes callers, until `stop` is cancelled.
pub(crate) async fn serve_ready(
    gateway: Arc<Gateway>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let mut connections = accept_each(listener, &stop, |stream| {
        let gateway = Arc::clone(&gateway);
        async move {
            let service = service_fn(move |_| {
                let is_ready = gateway.is_ready();
                async move {
                    let mut answer = Response::new(whole_body(""));
                    if !is_ready {
                        *answer.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                    }
                    Ok::<_, Infallible>(answer)
                }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                debug!("the balancer's connection ended: {error}");
            }
        }
    })
    .await;
    connections.shutdown().await;
}
