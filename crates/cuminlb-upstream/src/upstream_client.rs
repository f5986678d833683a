//! [`UpstreamClient`].

use std::error::Error;
use std::net::SocketAddr;

use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::{Empty, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

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

/// The header by which a request tells in milliseconds how long its answer is waited for.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The header by which a request asks to leave out the first chunks of a stream, and by which
/// an engine says how many it has left out.
pub const RESUME_HEADER: &str = "x-cuminlb-resume-after";

/// The start of the path at which an upstream tells whether it runs a request.
pub const RUNNING_PATH: &str = "/control/running/";

/// Carries callers' requests to upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Opens a new connection for each call, because one that is open may have gone silent.
    prober: Client<HttpConnector, Empty<Bytes>>,
    probe_timeout_ms: Millis,
}

impl UpstreamClient {
    /// Prepares a client that gives up a connection that takes `connect_timeout_ms` to open, and
    /// keeps an unused one for `idle_ms`.
    pub fn new(connect_timeout_ms: Millis, idle_ms: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout_ms.duration()));
        connector.set_keepalive(Some(idle_ms.duration()));
        let prober = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector.clone());
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(idle_ms.duration())
            .build(connector);
        Self {
            client,
            prober,
            probe_timeout_ms: connect_timeout_ms * 2,
        }
    }

    /// Sends a request and returns the head of the answer; the caller bounds the time.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamError`], which tells whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let response = self.client.request(request).await.map_err(|error| {
            let reason = describe(&error);
            if error.is_connect() {
                UpstreamError::NotSent { reason }
            } else {
                UpstreamError::Broken { reason }
            }
        })?;
        let not_run = response.headers().get(RUN_STATE_HEADER);
        if not_run.is_some_and(|state| state == RUN_STATE_NOT_RUN) {
            return Err(UpstreamError::RefusedNotRun {
                status: response.status().as_u16(),
            });
        }
        Ok(response)
    }

    /// Asks an upstream over a new connection whether it still runs a request.
    pub async fn is_running(&self, address: SocketAddr, request: &RequestId) -> bool {
        let uri = format!("http://{address}{RUNNING_PATH}{request}");
        let Ok(probe) = Request::get(uri).body(Empty::new()) else {
            return false;
        };
        let answer = self.prober.request(probe);
        let answer = tokio::time::timeout(self.probe_timeout_ms.duration(), answer).await;
        matches!(answer, Ok(Ok(response)) if response.status().is_success())
    }
}

/// Returns what a connection reported, with its cause.
fn describe(error: &hyper_util::client::legacy::Error) -> SmolStr {
    match error.source() {
        Some(source) => format_smolstr!("{error}: {source}"),
        None => error.to_smolstr(),
    }
}
