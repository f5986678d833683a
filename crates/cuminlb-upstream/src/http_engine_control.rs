//! The implementation of [`EngineControl`] over HTTP.

use std::error::Error;
use std::io;
use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use smol_str::ToSmolStr;

use crate::{EngineControl, EngineOrder, EngineReport, OrderError};

/// The maximum length of the body of a response.
const MAX_RESPONSE_LEN_BYTES: usize = 64 << 10;

/// Sends orders and requests reports over HTTP with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpEngineControl {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout_ms: Millis,
}

impl HttpEngineControl {
    /// Creates a client with the timeout `timeout_ms` for each call. It keeps one unused connection
    /// to each instance, for up to eight times the timeout.
    pub fn new(timeout_ms: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout_ms.duration()));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(timeout_ms.duration() * 8)
            .pool_max_idle_per_host(1)
            .build(connector);
        Self { client, timeout_ms }
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<EngineReport, OrderError> {
        let no_response = || OrderError::NoResponse {
            timeout_ms: self.timeout_ms,
        };
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| OrderError::Malformed {
                reason: error.to_smolstr(),
            })?;
        let exchange = async {
            let response = self.client.request(request).await;
            let response = response.map_err(|error| {
                if is_connection_refused(&error) {
                    let reason = error.to_smolstr();
                    OrderError::Unreachable { reason }
                } else {
                    no_response()
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_LEN_BYTES);
            let body = body.collect().await.map_err(|_| no_response())?.to_bytes();
            match status {
                StatusCode::OK => {
                    serde_json::from_slice(&body).map_err(|error| OrderError::Malformed {
                        reason: error.to_smolstr(),
                    })
                }
                StatusCode::PRECONDITION_FAILED => Err(OrderError::Fenced),
                other => Err(OrderError::Refused {
                    status: other.as_u16(),
                }),
            }
        };
        match tokio::time::timeout(self.timeout_ms.duration(), exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(no_response()),
        }
    }
}

#[async_trait]
impl EngineControl for HttpEngineControl {
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, OrderError> {
        self.call(Method::GET, address, "/control/report", Bytes::new())
            .await
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> Result<EngineReport, OrderError> {
        let body = serde_json::to_vec(order).map_err(|error| OrderError::Malformed {
            reason: error.to_smolstr(),
        })?;
        self.call(Method::POST, address, "/control/order", body.into())
            .await
    }
}

/// Returns whether no connection could be opened, for another reason than a timeout. Only this shows
/// that the process is gone; a connection that breaks later may have transmitted the request.
fn is_connection_refused(error: &hyper_util::client::legacy::Error) -> bool {
    let mut source = error.source();
    while let Some(inner) = source {
        if let Some(io) = inner.downcast_ref::<io::Error>() {
            return error.is_connect() && io.kind() != io::ErrorKind::TimedOut;
        }
        source = inner.source();
    }
    error.is_connect()
}
