//! A client of the operator API that fails over between the nodes it is given.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cuminlb_caller::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use super::OperatorClientError;

/// The timeout of one call; an apply waits for all nodes to confirm.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The size limit of a response body (256 MiB).
const MAX_RESPONSE_LEN_BYTES: usize = 256 << 20;

/// Calls the operator API on the first node that responds.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    nodes: Vec<SocketAddr>,
    token: SmolStr,
}

/// The reason why a call to one node got no response.
struct CallFailure {
    /// Whether the node may have executed the call.
    may_have_executed: bool,
    reason: SmolStr,
}

impl OperatorClient {
    /// Creates a client that tries the nodes in the given order, authenticating with `token`.
    pub fn new(nodes: Vec<SocketAddr>, token: SmolStr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self {
            client,
            nodes,
            token,
        }
    }

    /// Returns the state of the whole fleet.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorClientError`] if no node responded, the token was rejected or the
    /// response can't be parsed.
    pub async fn fleet_status(&self) -> Result<FleetStatus, OperatorClientError> {
        self.query(Method::GET, "/fleet-status", Bytes::new()).await
    }

    /// Returns the fleet file that is active on the node that responds.
    ///
    /// # Errors
    ///
    /// As [`Self::fleet_status`].
    pub async fn fleet(&self) -> Result<FleetDocument, OperatorClientError> {
        self.query(Method::GET, "/fleet", Bytes::new()).await
    }

    /// Returns the merged events of all nodes.
    ///
    /// # Errors
    ///
    /// As [`Self::fleet_status`].
    pub async fn events(
        &self,
        request: &EventsRequest,
    ) -> Result<EventsReport, OperatorClientError> {
        self.query(Method::POST, "/events", json(request)?).await
    }

    /// Applies a fleet file.
    ///
    /// The call is sent to the next node only if the previous one can't have executed it.
    ///
    /// # Errors
    ///
    /// As [`Self::fleet_status`], and [`OperatorClientError::Apply`] if the file was not accepted
    /// or it is unknown whether it was.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReport, OperatorClientError> {
        let body = json(request)?;
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self
                .call_node(*node, Method::POST, "/apply", body.clone())
                .await
            {
                Ok((status, body)) if status.is_success() => return parse(&body),
                Ok((status, body)) => return Err(apply_error(status, &body)?),
                Err(CallFailure {
                    may_have_executed: true,
                    reason,
                }) => return Err(ApplyError::Unknown { reason }.into()),
                Err(failure) => failures.push((*node, failure.reason)),
            }
        }
        Err(no_response(&failures))
    }

    /// Sends a read-only call to the nodes in turn until one responds with success or rejects the
    /// token.
    async fn query<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, OperatorClientError> {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self
                .call_node(*node, method.clone(), path, body.clone())
                .await
            {
                Ok((StatusCode::UNAUTHORIZED, _)) => return Err(OperatorClientError::BadToken),
                Ok((status, body)) if status.is_success() => return parse(&body),
                Ok((status, _)) => failures.push((*node, format_smolstr!("status {status}"))),
                Err(failure) => failures.push((*node, failure.reason)),
            }
        }
        Err(no_response(&failures))
    }

    async fn call_node(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), CallFailure> {
        let not_sent = |reason: SmolStr| CallFailure {
            may_have_executed: false,
            reason,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(
                http::header::AUTHORIZATION,
                format!("Bearer {}", self.token),
            )
            .body(Full::new(body))
            .map_err(|error| not_sent(error.to_smolstr()))?;
        let response_lost = |reason: SmolStr| CallFailure {
            may_have_executed: true,
            reason,
        };
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| CallFailure {
                may_have_executed: !error.is_connect(),
                reason: root_cause(&error),
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_LEN_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| response_lost(error.to_smolstr()))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(response_lost("timed out waiting for a response".into())),
        }
    }
}

/// Returns the error that a response to an apply without a success status stands for.
fn apply_error(
    status: StatusCode,
    body: &[u8],
) -> Result<OperatorClientError, OperatorClientError> {
    if status == StatusCode::UNAUTHORIZED {
        return Ok(OperatorClientError::BadToken);
    }
    Ok(parse::<ApplyError>(body)?.into())
}

/// Returns the text of an error's innermost source, which is the root cause.
fn root_cause(error: &(dyn std::error::Error + 'static)) -> SmolStr {
    let mut innermost = error;
    while let Some(source) = innermost.source() {
        innermost = source;
    }
    innermost.to_smolstr()
}

fn no_response(failures: &[(SocketAddr, SmolStr)]) -> OperatorClientError {
    if failures.is_empty() {
        return OperatorClientError::NoAddress;
    }
    let attempts = failures
        .iter()
        .map(|(node, reason)| format!("\n  - {node}: {reason}"));
    OperatorClientError::NoResponse {
        attempts: attempts.collect::<String>().into(),
    }
}

fn json<T: Serialize>(value: &T) -> Result<Bytes, OperatorClientError> {
    serde_json::to_vec(value)
        .map(Bytes::from)
        .map_err(|error| malformed(&error))
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, OperatorClientError> {
    serde_json::from_slice(body).map_err(|error| malformed(&error))
}

fn malformed(error: &impl std::fmt::Display) -> OperatorClientError {
    OperatorClientError::Malformed {
        reason: error.to_smolstr(),
    }
}
