//! A handler that echoes paths and records refusals, and a server that runs it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cuminlb_caller::{CallerHandler, CallerRequest, CallerResponse, serve_callers};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use http::{HeaderMap, StatusCode};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::support::{next_address, wait_listening};

/// Responds to every decoded request with its path, and records requests that can't be decoded.
#[derive(Clone, Default)]
pub struct FakeCallerHandler {
    pub rejected: Arc<Mutex<Vec<Refusal>>>,
}

impl CallerHandler for FakeCallerHandler {
    async fn handle(&self, request: CallerRequest) -> CallerResponse {
        CallerResponse::Complete {
            status: StatusCode::OK,
            headers: HeaderMap::new(),
            body: Bytes::from(request.path.to_string()),
        }
    }

    fn record_rejection(&self, _request: &RequestId, refusal: &Refusal) {
        assert_eq!(refusal.run_state, RunState::NotRun);
        self.rejected.lock().unwrap().push(refusal.clone());
    }

    fn new_request_id(&self) -> RequestId {
        "request-1".parse().unwrap()
    }

    fn max_body_bytes(&self) -> ByteCount {
        ByteCount(4_096)
    }

    fn receive_timeout_ms(&self) -> Millis {
        Millis(2_000)
    }

    fn is_ready(&self) -> bool {
        true
    }
}

/// A server with a [`FakeCallerHandler`]; [`CallerServer::stop`] joins its task.
pub struct CallerServer {
    pub address: SocketAddr,
    pub handler: FakeCallerHandler,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl CallerServer {
    pub async fn start() -> Self {
        let (address, handler) = (next_address(), FakeCallerHandler::default());
        let stop = CancellationToken::new();
        let serving = serve_callers(address, handler.clone(), stop.clone(), Millis(1_000));
        let task = tokio::spawn(async { serving.await.unwrap() });
        wait_listening(address).await;
        Self {
            address,
            handler,
            stop,
            task,
        }
    }

    pub async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}
