//! An HTTP client with a time limit on each call, shared by the clients of the platform's
//! services.

use std::net::SocketAddr;

use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use smol_str::{SmolStr, ToSmolStr};

use crate::PlatformError;

/// The largest response body that is read, unless a client has another limit.
const DEFAULT_MAX_RESPONSE_BYTES: usize = 16 << 20;

/// How much is read from a connection at once, which also limits the head of a response. A service that
/// sends heads without end delays other tasks by 128 such reads.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Sends HTTP requests to one service, each with a time limit.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    timeout_ms: Millis,
    max_response_bytes: usize,
}

impl HttpClient {
    /// Creates a client for the service at `address`; `timeout_ms` is the default limit of a call.
    pub fn new(address: SocketAddr, timeout_ms: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout_ms.duration()));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(timeout_ms.duration() * 8)
            .http1_read_buf_exact_size(READ_BUFFER_BYTES)
            .build(connector);
        Self {
            client,
            address,
            timeout_ms,
            max_response_bytes: DEFAULT_MAX_RESPONSE_BYTES,
        }
    }

    /// Returns the client with a limit on the bodies of responses; longer ones count as none.
    #[must_use]
    pub const fn with_max_response_bytes(mut self, max_response_bytes: usize) -> Self {
        self.max_response_bytes = max_response_bytes;
        self
    }

    /// Sends a request and returns the status and the complete body of the response.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if no complete response arrived within the default time limit.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<(StatusCode, Bytes), PlatformError> {
        let response = self
            .call_with_headers(method, path, HeaderMap::new(), body, self.timeout_ms)
            .await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request with extra headers and its own time limit, and returns the response with its
    /// headers; the content type is always JSON.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformError`] if no complete response arrived within `timeout_ms`.
    pub async fn call_with_headers(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        timeout_ms: Millis,
    ) -> Result<Response<Bytes>, PlatformError> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .body(Full::new(body))
            .map_err(|error| malformed(error.to_smolstr()))?;
        *request.headers_mut() = headers;
        let content_type = HeaderValue::from_static("application/json");
        request
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, content_type);
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    self.unreachable(error.to_smolstr())
                } else {
                    no_response(timeout_ms)
                }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, self.max_response_bytes);
            let body = body
                .collect()
                .await
                .map_err(|_| no_response(timeout_ms))?
                .to_bytes();
            Ok(Response::from_parts(head, body))
        };
        match tokio::time::timeout(timeout_ms.duration(), exchange).await {
            Ok(result) => result,
            Err(_elapsed) => Err(no_response(timeout_ms)),
        }
    }

    /// Sends `body` as JSON and decodes the JSON body of the response, which must have a success
    /// status.
    pub(super) async fn call_json<Req, Resp>(
        &self,
        method: Method,
        path: &str,
        body: &Req,
    ) -> Result<Resp, PlatformError>
    where
        Req: serde::Serialize + ?Sized,
        Resp: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(body).map_err(|error| malformed(error.to_smolstr()))?;
        let (status, response) = self.call(method, path, body.into()).await?;
        if !status.is_success() {
            return Err(PlatformError::Refused {
                status: status.as_u16(),
            });
        }
        serde_json::from_slice(&response).map_err(|error| malformed(error.to_smolstr()))
    }

    fn unreachable(&self, reason: SmolStr) -> PlatformError {
        PlatformError::Unreachable {
            address: self.address.to_smolstr(),
            reason,
        }
    }
}

const fn no_response(timeout_ms: Millis) -> PlatformError {
    PlatformError::NoResponse { timeout_ms }
}

const fn malformed(reason: SmolStr) -> PlatformError {
    PlatformError::Malformed { reason }
}
