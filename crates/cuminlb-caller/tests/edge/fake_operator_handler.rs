//! A handler that counts operators' calls, and a server that runs it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use cuminlb_caller::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
    NodeStatus, OperatorHandler, OperatorToken, serve_operators,
};
use cuminlb_types::prelude::*;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::support::{next_address, wait_listening};

/// The operator token of the test server.
pub const TOKEN: &str = "a-secret-of-operators";

/// Counts the calls that passed the token check and decoding.
#[derive(Clone, Default)]
pub struct FakeOperatorHandler {
    pub calls: Arc<AtomicU32>,
}

impl FakeOperatorHandler {
    fn count(&self) {
        self.calls.fetch_add(1, Ordering::SeqCst);
    }
}

impl OperatorHandler for FakeOperatorHandler {
    async fn apply(&self, request: ApplyRequest) -> Result<ApplyReport, ApplyError> {
        self.count();
        let in_force = request.base.unwrap_or_default();
        Err(ApplyError::Conflict { in_force })
    }

    fn status(&self) -> NodeStatus {
        self.count();
        NodeStatus {
            node: "node-1".parse().unwrap(),
            zone: "lami".parse().unwrap(),
            ready: true,
            config: ConfigVersion(1),
            table_age_ms: None,
            nodes: Vec::new(),
            services: Vec::new(),
        }
    }

    async fn fleet_status(&self) -> FleetStatus {
        self.count();
        FleetStatus {
            config: ConfigVersion(1),
            zones: Vec::new(),
            nodes: Vec::new(),
            silent: Vec::new(),
            services: Vec::new(),
        }
    }

    fn fleet(&self) -> FleetDocument {
        self.count();
        FleetDocument {
            version: ConfigVersion(1),
            body: String::new(),
        }
    }

    async fn events(&self, _request: EventsRequest) -> EventsReport {
        self.count();
        EventsReport::default()
    }

    fn is_ready(&self) -> bool {
        false
    }

    fn metrics_text(&self) -> String {
        "# EOF\n".to_owned()
    }
}

/// A server with a [`FakeOperatorHandler`]; [`OperatorServer::stop`] joins its task.
pub struct OperatorServer {
    pub address: SocketAddr,
    pub handler: FakeOperatorHandler,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl OperatorServer {
    pub async fn start() -> Self {
        let (address, handler) = (next_address(), FakeOperatorHandler::default());
        let stop = CancellationToken::new();
        let token = OperatorToken::new(TOKEN.into());
        let serving = serve_operators(address, token, handler.clone(), stop.clone());
        let task = tokio::spawn(async { serving.await.unwrap() });
        wait_listening(address).await;
        Self {
            address,
            handler,
            stop,
            task,
        }
    }

    pub fn calls(&self) -> u32 {
        self.handler.calls.load(Ordering::SeqCst)
    }

    pub async fn stop(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}
