//! The endpoints that require no token, because they reveal no secret and change nothing.

use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::*;

use super::OperatorHandler;

/// The content type of the metrics.
const METRICS_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// The calls that require no token.
#[derive(Clone, Copy, Debug)]
pub(super) enum PublicCall {
    /// Returns whether the process is alive.
    Health,
    /// Returns whether the load balancer should send requests to the caller port.
    Ready,
    /// Returns the metrics.
    Metrics,
}

/// Handles a call that requires no token.
pub(super) struct PublicEndpoint<H> {
    pub(super) call: PublicCall,
    pub(super) handler: H,
}

#[salvo::async_trait]
impl<H: OperatorHandler> Handler for PublicEndpoint<H> {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::OK);
        match self.call {
            PublicCall::Health => res.body("ok\n"),
            PublicCall::Ready if self.handler.is_ready() => res.body("ready\n"),
            PublicCall::Ready => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.body("not ready\n")
            }
            PublicCall::Metrics => {
                res.headers_mut().insert(CONTENT_TYPE, METRICS_TYPE);
                res.body(self.handler.metrics_text())
            }
        };
    }
}
