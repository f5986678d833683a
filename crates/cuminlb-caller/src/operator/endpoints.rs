//! The operator API's endpoints that require the operator token.

use std::time::Duration;

use http::StatusCode;
use salvo::http::ParseError;
use salvo::prelude::*;
use serde::de::DeserializeOwned;

use super::{ApplyError, ApplyRequest, EventsRequest, OperatorHandler, OperatorToken};

/// The maximum length of the body of an operator's call.
const MAX_BODY_LEN_BYTES: usize = 4 << 20;

/// The time limit for receiving the body of a call.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);

/// The calls that require the operator token.
#[derive(Clone, Copy, Debug)]
pub(super) enum OperatorCall {
    /// Applies a fleet file.
    Apply,
    /// Returns the state of the node, and of the fleet as known to it.
    Status,
    /// Returns the state of the whole fleet, collected from all nodes.
    FleetStatus,
    /// Returns the current configuration.
    Fleet,
    /// Returns the merged timeline of all nodes.
    Events,
}

/// Checks the operator token, decodes a call and encodes the handler's response.
pub(super) struct OperatorEndpoint<H> {
    pub(super) call: OperatorCall,
    pub(super) token: OperatorToken,
    pub(super) handler: H,
}

#[salvo::async_trait]
impl<H: OperatorHandler> Handler for OperatorEndpoint<H> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        if !self.token.authorizes(req.headers()) {
            res.status_code(StatusCode::UNAUTHORIZED);
            res.body("the operator token is missing or invalid\n");
            return;
        }
        match self.call {
            OperatorCall::Apply => self.apply(req, res).await,
            OperatorCall::Status => res.render(Json(self.handler.status())),
            OperatorCall::FleetStatus => res.render(Json(self.handler.fleet_status().await)),
            OperatorCall::Fleet => res.render(Json(self.handler.fleet())),
            OperatorCall::Events => self.events(req, res).await,
        }
    }
}

impl<H: OperatorHandler> OperatorEndpoint<H> {
    async fn apply(&self, req: &mut Request, res: &mut Response) {
        let Some(request) = read_json::<ApplyRequest>(req, res).await else {
            return;
        };
        match self.handler.apply(request).await {
            Ok(report) => res.render(Json(report)),
            Err(error) => {
                res.status_code(apply_status(&error));
                res.render(Json(error));
            }
        }
    }

    async fn events(&self, req: &mut Request, res: &mut Response) {
        let Some(request) = read_json::<EventsRequest>(req, res).await else {
            return;
        };
        res.render(Json(self.handler.events(request).await));
    }
}

const fn apply_status(error: &ApplyError) -> StatusCode {
    match error {
        ApplyError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        ApplyError::Conflict { .. } => StatusCode::CONFLICT,
        ApplyError::NotReached { .. } => StatusCode::SERVICE_UNAVAILABLE,
        ApplyError::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

/// Reads and decodes a JSON body; on failure, writes an error response and returns `None`.
async fn read_json<T: DeserializeOwned>(req: &mut Request, res: &mut Response) -> Option<T> {
    let payload = req.payload_with_max_size(MAX_BODY_LEN_BYTES);
    let (status, reason) = match tokio::time::timeout(RECEIVE_TIMEOUT, payload).await {
        Ok(Ok(body)) => match serde_json::from_slice(body) {
            Ok(value) => return Some(value),
            Err(error) => (StatusCode::BAD_REQUEST, error.to_string()),
        },
        Ok(Err(ParseError::PayloadTooLarge)) => (
            StatusCode::PAYLOAD_TOO_LARGE,
            format!("larger than {MAX_BODY_LEN_BYTES} bytes"),
        ),
        Ok(Err(error)) => (StatusCode::BAD_REQUEST, error.to_string()),
        Err(_elapsed) => (
            StatusCode::REQUEST_TIMEOUT,
            format!("not received within {} s", RECEIVE_TIMEOUT.as_secs()),
        ),
    };
    res.status_code(status);
    res.body(format!("invalid request body: {reason}\n"));
    None
}
