//! [`FakeCallers`].

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use bytes::Bytes;
use cuminlb_caller::{CallerAnswer, CallerHandler, CallerRequest, serve_callers};
use cuminlb_routing::{Refusal, RunState};
use cuminlb_types::prelude::*;
use http::{HeaderMap, StatusCode};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::support::{next_address, wait_listening};

/// Answers every request that can be read, and notes those that can't.
#[derive(Clone, Default)]
pub struct FakeCallers {
    pub rejected: Arc<Mutex<Vec<Refusal>>>,
}

impl CallerHandler for FakeCallers {
    async fn handle(&self, request: CallerRequest) -> CallerAnswer {
        CallerAnswer::Whole {
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

/// A server with fake callers' handler; its task is joined by [`CallerServer::stop`].
pub struct CallerServer {
    pub address: SocketAddr,
    pub handler: FakeCallers,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl CallerServer {
    pub async fn start() -> Self {
        let (address, handler) = (next_address(), FakeCallers::default());
        let stop = CancellationToken::new();
        let served = serve_callers(address, handler.clone(), stop.clone(), Millis(1_000));
        let task = tokio::spawn(async { served.await.unwrap() });
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
