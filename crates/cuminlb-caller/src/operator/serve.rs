//! [`serve_operators`].

use std::net::SocketAddr;
use std::time::Duration;

use salvo::prelude::*;
use tokio_util::sync::CancellationToken;

use super::endpoints::{OperatorCall, OperatorEndpoint};
use super::state_endpoints::{StateCall, StateEndpoint};
use super::{OperatorHandler, OperatorToken};
use crate::ServeError;
use crate::server::{bind, serve_until};

/// The time that operators' calls in flight have to end at a shutdown.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves operators until `stop` is cancelled.
///
/// # Errors
///
/// Returns [`ServeError`] when the address can't be listened on.
pub async fn serve_operators<H: OperatorHandler>(
    address: SocketAddr,
    token: OperatorToken,
    handler: H,
    stop: CancellationToken,
) -> Result<(), ServeError> {
    let acceptor = bind(address)?;
    let endpoint = |call| OperatorEndpoint {
        call,
        token: token.clone(),
        handler: handler.clone(),
    };
    let state = |call| StateEndpoint {
        call,
        handler: handler.clone(),
    };
    let router = Router::new()
        .push(Router::with_path("healthz").get(state(StateCall::Health)))
        .push(Router::with_path("readyz").get(state(StateCall::Ready)))
        .push(Router::with_path("metrics").get(state(StateCall::Metrics)))
        .push(Router::with_path("apply").post(endpoint(OperatorCall::Apply)))
        .push(Router::with_path("status").get(endpoint(OperatorCall::Status)))
        .push(Router::with_path("fleet-status").get(endpoint(OperatorCall::FleetStatus)))
        .push(Router::with_path("fleet").get(endpoint(OperatorCall::Fleet)))
        .push(Router::with_path("events").post(endpoint(OperatorCall::Events)));
    serve_until(acceptor, router, stop, DRAIN_TIMEOUT).await;
    Ok(())
}
