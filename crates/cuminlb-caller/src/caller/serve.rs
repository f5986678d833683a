//! The HTTP server for callers.

use std::net::SocketAddr;

use cuminlb_types::prelude::*;
use http::StatusCode;
use salvo::prelude::*;
use tokio_util::sync::CancellationToken;

use super::CallerHandler;
use super::endpoint::CallerEndpoint;
use crate::ServeError;
use crate::server::{bind, serve_until};

/// Serves callers until `stop` is cancelled, then waits up to `drain_ms` for requests in flight.
///
/// # Errors
///
/// Returns [`ServeError`] if the server can't listen on the address.
pub async fn serve_callers<H: CallerHandler>(
    address: SocketAddr,
    handler: H,
    stop: CancellationToken,
    drain_ms: Millis,
) -> Result<(), ServeError> {
    let acceptor = bind(address)?;
    let router = Router::new()
        .push(Router::with_path("healthz").get(HealthEndpoint))
        .push(Router::with_path("readyz").get(ReadyEndpoint {
            handler: handler.clone(),
        }))
        .push(Router::with_path("{**path}").goal(CallerEndpoint::new(handler)));
    serve_until(acceptor, router, stop, drain_ms.duration()).await;
    Ok(())
}

struct HealthEndpoint;

#[salvo::async_trait]
impl Handler for HealthEndpoint {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::OK);
        res.body("ok\n");
    }
}

struct ReadyEndpoint<H> {
    handler: H,
}

#[salvo::async_trait]
impl<H: CallerHandler> Handler for ReadyEndpoint<H> {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if self.handler.is_ready() {
            res.status_code(StatusCode::OK);
            res.body("ready\n");
        } else {
            res.status_code(StatusCode::SERVICE_UNAVAILABLE);
            res.body("not ready\n");
        }
    }
}
