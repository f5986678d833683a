//! [`OperatorClient`].

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cuminlb_caller::{
    ApplyError, ApplyReport, ApplyRequest, EventsRequest, FleetDocument, NodeStatus,
};
use cuminlb_events::Event;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
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

/// Calls the operators' API of the first node that answers.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    client: Client<HttpConnector, Full<Bytes>>,
    nodes: Vec<SocketAddr>,
    token: SmolStr,
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

    /// Returns the state of the fleet.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorClientError`] when no node answered or the token was refused.
    pub async fn status(&self) -> Result<NodeStatus, OperatorClientError> {
        self.get("/status").await
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn fleet(&self) -> Result<FleetDocument, OperatorClientError> {
        self.get("/fleet").await
    }

    /// Puts a fleet file in force.
    ///
    /// # Errors
    ///
    /// As [`Self::status`], and [`OperatorClientError::Apply`] when the file was not accepted.
    pub async fn apply(&self, request: &ApplyRequest) -> Result<ApplyReport, OperatorClientError> {
        let (status, body) = self.call(Method::POST, "/apply", json(request)?).await?;
        if status.is_success() {
            return parse(&body);
        }
        Err(parse::<ApplyError>(&body)?.into())
    }

    /// Returns the merged events of all nodes.
    ///
    /// # Errors
    ///
    /// As [`Self::status`].
    pub async fn events(&self, request: &EventsRequest) -> Result<Vec<Event>, OperatorClientError> {
        let (_, body) = self.call(Method::POST, "/events", json(request)?).await?;
        parse(&body)
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, OperatorClientError> {
        let (_, body) = self.call(Method::GET, path, Bytes::new()).await?;
        parse(&body)
    }

    /// Calls the nodes in turn until one can be connected to.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), OperatorClientError> {
        let mut reason = SmolStr::new_static("no address was given");
        for node in &self.nodes {
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{node}{path}"))
                .header(
                    http::header::AUTHORIZATION,
                    format!("Bearer {}", self.token),
                )
                .body(Full::new(body.clone()))
                .map_err(|error| malformed(&error))?;
            let exchange = async {
                let response = self
                    .client
                    .request(request)
                    .await
                    .map_err(|error| (error.is_connect(), format_smolstr!("{error}")))?;
                let status = response.status();
                let body = response.into_body().collect().await;
                let body = body.map_err(|error| (false, error.to_smolstr()))?;
                Ok::<_, (bool, SmolStr)>((status, body.to_bytes()))
            };
            match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
                Ok(Ok((StatusCode::UNAUTHORIZED, _))) => return Err(OperatorClientError::BadToken),
                Ok(Ok(answer)) => return Ok(answer),
                Ok(Err((true, error))) => reason = error,
                Ok(Err((false, error))) => return Err(self.no_node(error)),
                Err(_elapsed) => return Err(self.no_node("no answer in time".into())),
            }
        }
        Err(self.no_node(reason))
    }

    fn no_node(&self, reason: SmolStr) -> OperatorClientError {
        let tried: Vec<String> = self.nodes.iter().map(ToString::to_string).collect();
        OperatorClientError::NoNode {
            tried: tried.join(", ").into(),
            reason,
        }
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
