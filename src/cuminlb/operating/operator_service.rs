//! Implements the operator API for a node; each call is delegated to a function of this module.

use std::sync::Arc;

use cuminlb_caller::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
    NodeStatus, OperatorHandler,
};

use super::apply::apply;
use super::events::merged_events;
use super::fleet_status::fleet_status;
use super::status::node_status;
use crate::node::Node;

/// Handles the calls of operators.
#[derive(Clone)]
pub struct OperatorService {
    node: Arc<Node>,
}

impl OperatorService {
    /// Creates the service for a node.
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl OperatorHandler for OperatorService {
    async fn apply(&self, request: ApplyRequest) -> Result<ApplyReport, ApplyError> {
        apply(&self.node, request).await
    }

    fn status(&self) -> NodeStatus {
        node_status(&self.node)
    }

    fn fleet(&self) -> FleetDocument {
        let view = self.node.view.borrow();
        let body = view
            .config
            .as_ref()
            .map(|config| config.body.clone())
            .unwrap_or_default();
        FleetDocument {
            version: view.config_version(),
            body,
        }
    }

    async fn fleet_status(&self) -> FleetStatus {
        fleet_status(&self.node).await
    }

    async fn events(&self, request: EventsRequest) -> EventsReport {
        merged_events(&self.node, &request).await
    }

    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    fn metrics_text(&self) -> String {
        self.node.metrics.encode(&self.node)
    }
}
