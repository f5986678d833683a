//! The HTTP client that tests use as a caller, an operator or a control endpoint's client.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::SiteError;

/// The timeout of a call, from the connection to the end of the response body.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// An HTTP response with its complete body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or `null` if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Deserializes the JSON body of a response.
pub(crate) fn parse_response<T: DeserializeOwned>(response: &HttpResponse) -> Result<T, SiteError> {
    serde_json::from_slice(&response.body).map_err(|error| SiteError::Http {
        url: "a call with a JSON response".to_owned(),
        reason: format!("{error}: {}", response.text()),
    })
}

/// An HTTP client that reads every response in full.
#[derive(Clone, Debug)]
pub struct TestClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for TestClient {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
        }
    }
}

impl TestClient {
    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] if no complete response arrives in time.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<HttpResponse, SiteError> {
        let http_error = |reason: String| SiteError::Http {
            url: url.to_owned(),
            reason,
        };
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|error| http_error(error.to_string()))?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|error| http_error(format!("{error:?}")))?;
            let (head, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|error| http_error(error.to_string()))?
                .to_bytes();
            Ok(HttpResponse {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(response) => response,
            Err(_elapsed) => Err(http_error(
                "no complete response within the timeout".to_owned(),
            )),
        }
    }
}
