//! The endpoints that need no token: they hold no secret and change nothing.

use http::StatusCode;
use http::header::{CONTENT_TYPE, HeaderValue};
use salvo::prelude::*;

use super::OperatorHandler;

/// The media type of the metrics.
const METRICS_TYPE: HeaderValue =
    HeaderValue::from_static("application/openmetrics-text; version=1.0.0; charset=utf-8");

/// What an endpoint without a token shows.
#[derive(Clone, Copy, Debug)]
pub(super) enum StateCall {
    /// Whether the process is alive.
    Health,
    /// Whether the balancer should send requests to the caller port.
    Ready,
    /// The metrics.
    Metrics,
}

/// Answers a call without a token.
pub(super) struct StateEndpoint<H> {
    pub(super) call: StateCall,
    pub(super) handler: H,
}

#[salvo::async_trait]
impl<H: OperatorHandler> Handler for StateEndpoint<H> {
    async fn handle(
        &self,
        _req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        res.status_code(StatusCode::OK);
        match self.call {
            StateCall::Health => res.body("ok\n"),
            StateCall::Ready if self.handler.is_ready() => res.body("ready\n"),
            StateCall::Ready => {
                res.status_code(StatusCode::SERVICE_UNAVAILABLE);
                res.body("not ready\n")
            }
            StateCall::Metrics => {
                res.headers_mut().insert(CONTENT_TYPE, METRICS_TYPE);
                res.body(self.handler.metrics_text())
            }
        };
    }
}
