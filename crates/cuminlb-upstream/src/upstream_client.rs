//! The HTTP client for requests to upstreams, and the headers that these use.

use std::error::Error;
use std::net::SocketAddr;

use bytes::Bytes;
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::{Empty, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};

use crate::UpstreamError;

/// The header with the id of the request; upstreams return it in their responses.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// The header with the id of the group that a request is for.
pub const GROUP_HEADER: &str = "x-cuminlb-group";

/// The header with the epoch of the group that a request is for.
pub const EPOCH_HEADER: &str = "x-cuminlb-epoch";

/// The header in which a refusal reports whether the request has run.
pub const RUN_STATE_HEADER: &str = "x-cuminlb-run-state";

/// The value of [`RUN_STATE_HEADER`] for a request that has not run.
pub const RUN_STATE_NOT_RUN: &str = "not_run";

/// The header with the time, in milliseconds, for which the sender waits for the response.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// The header with the number of chunks to skip at the start of a resumed stream. In a response, it
/// is the number of chunks that the engine has skipped.
pub const RESUME_HEADER: &str = "x-cuminlb-resume-after";

/// The prefix of the path at which an upstream reports whether a request is running; the id of the
/// request follows.
pub const RUNNING_PATH_PREFIX: &str = "/control/running/";

/// Forwards callers' requests to upstreams.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    client: Client<HttpConnector, Full<Bytes>>,
    /// Opens a new connection for each probe, since an established one may be unresponsive.
    prober: Client<HttpConnector, Empty<Bytes>>,
    probe_timeout_ms: Millis,
}

impl UpstreamClient {
    /// Creates a client that times out connection attempts after `connect_timeout_ms` and closes
    /// connections that have been unused for `idle_ms`. A probe may take twice the connect timeout.
    ///
    /// TCP keepalive also starts after `idle_ms`, but gives up only after minutes: requests need bounds
    /// of their own.
    pub fn new(connect_timeout_ms: Millis, idle_ms: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(connect_timeout_ms.duration()));
        connector.set_keepalive(Some(idle_ms.duration()));
        let prober = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .build(connector.clone());
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(idle_ms.duration())
            .build(connector);
        Self {
            client,
            prober,
            probe_timeout_ms: connect_timeout_ms * 2,
        }
    }

    /// Sends a request and returns the response once its headers are received. This function sets
    /// no time limit; the code that calls it has to.
    ///
    /// # Errors
    ///
    /// Returns [`UpstreamError`], which states whether the request may have run.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let response = self.client.request(request).await.map_err(|error| {
            let reason = error_with_source(&error);
            if error.is_connect() {
                UpstreamError::NotSent { reason }
            } else {
                UpstreamError::Broken { reason }
            }
        })?;
        let run_state = response.headers().get(RUN_STATE_HEADER);
        if run_state.is_some_and(|state| state == RUN_STATE_NOT_RUN) {
            return Err(UpstreamError::RefusedNotRun {
                status: response.status().as_u16(),
            });
        }
        Ok(response)
    }

    /// Checks over a new connection whether an upstream is still running a request. Returns `false`
    /// if the probe fails or times out.
    pub async fn is_running(&self, address: SocketAddr, request_id: &RequestId) -> bool {
        let uri = format!("http://{address}{RUNNING_PATH_PREFIX}{request_id}");
        let Ok(probe) = Request::get(uri).body(Empty::new()) else {
            return false;
        };
        let response = self.prober.request(probe);
        let response = tokio::time::timeout(self.probe_timeout_ms.duration(), response).await;
        matches!(response, Ok(Ok(response)) if response.status().is_success())
    }
}

/// Returns the text of a client error with its source.
fn error_with_source(error: &hyper_util::client::legacy::Error) -> SmolStr {
    match error.source() {
        Some(source) => format_smolstr!("{error}: {source}"),
        None => error.to_smolstr(),
    }
}
