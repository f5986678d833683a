//! The HTTP server for operators.

use std::net::SocketAddr;
use std::time::Duration;

use salvo::prelude::*;
use tokio_util::sync::CancellationToken;

use super::endpoints::{OperatorCall, OperatorEndpoint};
use super::public_endpoints::{PublicCall, PublicEndpoint};
use super::{OperatorHandler, OperatorToken};
use crate::ServeError;
use crate::server::{bind, serve_until};

/// The time limit for calls in flight at a shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves operators until `stop` is cancelled, then waits a limited time for calls in flight.
///
/// # Errors
///
/// Returns [`ServeError`] if the server can't listen on the address.
pub async fn serve_operators<H: OperatorHandler>(
    address: SocketAddr,
    token: OperatorToken,
    handler: H,
    stop: CancellationToken,
) -> Result<(), ServeError> {
    let acceptor = bind(address)?;
    let protected = |call| OperatorEndpoint {
        call,
        token: token.clone(),
        handler: handler.clone(),
    };
    let public = |call| PublicEndpoint {
        call,
        handler: handler.clone(),
    };
    let router = Router::new()
        .push(Router::with_path("healthz").get(public(PublicCall::Health)))
        .push(Router::with_path("readyz").get(public(PublicCall::Ready)))
        .push(Router::with_path("metrics").get(public(PublicCall::Metrics)))
        .push(Router::with_path("apply").post(protected(OperatorCall::Apply)))
        .push(Router::with_path("status").get(protected(OperatorCall::Status)))
        .push(Router::with_path("fleet-status").get(protected(OperatorCall::FleetStatus)))
        .push(Router::with_path("fleet").get(protected(OperatorCall::Fleet)))
        .push(Router::with_path("events").post(protected(OperatorCall::Events)));
    serve_until(acceptor, router, stop, DRAIN_TIMEOUT).await;
    Ok(())
}
