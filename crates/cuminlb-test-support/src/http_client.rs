//! [`TestClient`].

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

/// The time that one call may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// An answer that was read whole.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON; `null` where it is none.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Reads the JSON body of an answer as a typed value.
pub(crate) fn parse_answer<T: DeserializeOwned>(answer: &Answer) -> Result<T, SiteError> {
    serde_json::from_slice(&answer.body).map_err(|error| SiteError::Http {
        url: "a call with a JSON answer".to_owned(),
        reason: format!("{error}: {}", answer.text()),
    })
}

/// A caller.
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
    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`SiteError::Http`] when no whole answer came.
    pub async fn call(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Result<Answer, SiteError> {
        let fail = |reason: String| SiteError::Http {
            url: url.to_owned(),
            reason,
        };
        let mut request = Request::builder().method(method).uri(url);
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(Full::new(body.into()))
            .map_err(|e| fail(e.to_string()))?;
        let exchange = async {
            let response = self
                .client
                .request(request)
                .await
                .map_err(|e| fail(format!("{e:?}")))?;
            let (head, body) = response.into_parts();
            let body = body
                .collect()
                .await
                .map_err(|e| fail(e.to_string()))?
                .to_bytes();
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(answer) => answer,
            Err(_elapsed) => Err(fail("no whole answer in time".to_owned())),
        }
    }
}
