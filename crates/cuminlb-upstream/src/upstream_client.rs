//! [`UpstreamClient`].

use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use smol_str::ToSmolStr;

use crate::UpstreamError;

/// The header that names the request; upstreams repeat it in their answers.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header that names the group that a request is for.
pub const GROUP_HEADER: &str = "x-cuminlb-group";

/// The header that names the epoch that a request is for.
pub const EPOCH_HEADER: &str = "x-cuminlb-epoch";

/// The header by which a refusal tells whether the request ran.
pub const RUN_STATE_HEADER: &str = "x-cuminlb-run-state";

/// The value of [`RUN_STATE_HEADER`] for a request that has not run.
pub const RUN_STATE_NOT_RUN: &str = "not_run";

/// Carries callers' requests to upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
    idle_ms: Millis,
}

impl UpstreamClient {
    /// Prepares a client that gives up a connection that takes `connect_timeout_ms` to open, and
    /// an answer whose head takes `idle_ms`.
    pub fn new(connect_timeout_ms: Millis, idle_ms: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout_ms.duration()));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_ms.duration())
            .build(connector);
        Self { client, idle_ms }
    }

    /// Sends a request and returns the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamError`], which tells whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let response = tokio::time::timeout(self.idle_ms.duration(), self.client.request(request));
        let response = match response.await {
            Err(_elapsed) => {
                return Err(UpstreamError::Silent {
                    idle_ms: self.idle_ms,
                });
            }
            Ok(Err(error)) if error.is_connect() => {
                return Err(UpstreamError::NotSent {
                    reason: error.to_smolstr(),
                });
            }
            Ok(Err(error)) => {
                return Err(UpstreamError::Broken {
                    reason: error.to_smolstr(),
                });
            }
            Ok(Ok(response)) => response,
        };
        let not_run = response.headers().get(RUN_STATE_HEADER);
        if not_run.is_some_and(|state| state == RUN_STATE_NOT_RUN) {
            return Err(UpstreamError::RefusedNotRun {
                status: response.status().as_u16(),
            });
        }
        Ok(response)
    }
}
