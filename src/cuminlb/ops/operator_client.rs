//! [`OperatorClient`].

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

/// The time that one call may take; an apply waits for all nodes to confirm.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The time that a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The largest answer that is read.
const MAX_ANSWER_LEN_BYTES: usize = 256 << 20;

/// Calls the operators' API of the first node that answers.
#[derive(Clone)]
pub struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    nodes: Vec<SocketAddr>,
    token: SmolStr,
}

/// The reason why one node gave no answer.
struct NoAnswer {
    /// Whether the node may have acted on the call.
    may_have_acted: bool,
    reason: SmolStr,
}

impl OperatorClient {
    /// Prepares calls to one of several nodes.
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
    /// Returns [`OperatorClientError`] when no node answered or the token was refused.
    pub async fn fleet_status(&self) -> Result<FleetStatus, OperatorClientError> {
        self.ask(Method::GET, "/fleet-status", Bytes::new()).await
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// As [`Self::fleet_status`].
    pub async fn fleet(&self) -> Result<FleetDocument, OperatorClientError> {
        self.ask(Method::GET, "/fleet", Bytes::new()).await
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
        self.ask(Method::POST, "/events", json(request)?).await
    }

    /// Puts a fleet file in force.
    ///
    /// # Errors
    ///
    /// As [`Self::fleet_status`], and [`OperatorClientError::Apply`] when the file was not
    /// accepted or it is not known whether it was.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReport, OperatorClientError> {
        let body = json(request)?;
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self.call(*node, Method::POST, "/apply", body.clone()).await {
                Ok((status, body)) if status.is_success() => return parse(&body),
                Ok((status, body)) => return Err(apply_refusal(status, &body)?),
                Err(NoAnswer {
                    may_have_acted: true,
                    reason,
                }) => return Err(ApplyError::Unknown { reason }.into()),
                Err(failure) => failures.push((*node, failure.reason)),
            }
        }
        Err(no_node(&failures))
    }

    /// Asks the nodes in turn until one answers; the call changes nothing.
    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, OperatorClientError> {
        let mut failures = Vec::new();
        for node in &self.nodes {
            match self.call(*node, method.clone(), path, body.clone()).await {
                Ok((StatusCode::UNAUTHORIZED, _)) => return Err(OperatorClientError::BadToken),
                Ok((status, body)) if status.is_success() => return parse(&body),
                Ok((status, _)) => failures.push((*node, format_smolstr!("status {status}"))),
                Err(failure) => failures.push((*node, failure.reason)),
            }
        }
        Err(no_node(&failures))
    }

    async fn call(
        &self,
        node: SocketAddr,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), NoAnswer> {
        let not_sent = |reason: SmolStr| NoAnswer {
            may_have_acted: false,
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
        let lost = |reason: SmolStr| NoAnswer {
            may_have_acted: true,
            reason,
        };
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| NoAnswer {
                may_have_acted: !error.is_connect(),
                reason: failure_reason(&error),
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_LEN_BYTES);
            let body = body.collect().await;
            let body = body.map_err(|error| lost(error.to_smolstr()))?;
            Ok((status, body.to_bytes()))
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_elapsed) => Err(lost("no answer in time".into())),
        }
    }
}

/// Returns what an apply was refused with.
fn apply_refusal(
    status: StatusCode,
    body: &[u8],
) -> Result<OperatorClientError, OperatorClientError> {
    if status == StatusCode::UNAUTHORIZED {
        return Ok(OperatorClientError::BadToken);
    }
    Ok(parse::<ApplyError>(body)?.into())
}

/// Returns an error with its deepest source, which names the cause.
fn failure_reason(error: &(dyn std::error::Error + 'static)) -> SmolStr {
    let mut deepest = error;
    while let Some(source) = deepest.source() {
        deepest = source;
    }
    deepest.to_smolstr()
}

fn no_node(failures: &[(SocketAddr, SmolStr)]) -> OperatorClientError {
    if failures.is_empty() {
        return OperatorClientError::NoAddress;
    }
    let tried = failures
        .iter()
        .map(|(node, reason)| format!("\n  - {node}: {reason}"));
    OperatorClientError::NoNode {
        tried: tried.collect::<String>().into(),
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
