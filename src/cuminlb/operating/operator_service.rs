//! [`OperatorService`].

use std::sync::Arc;

use cuminlb_caller::{
    ApplyError, ApplyReport, ApplyRequest, EventsRequest, FleetDocument, NodeStatus,
    OperatorHandler,
};
use cuminlb_events::Event;
use cuminlb_peer::EventsQuery;
use futures_util::future::join_all;

use super::apply::apply;
use super::status::node_status;
use crate::node::Node;

/// Answers the calls of operators.
#[derive(Clone)]
pub struct OperatorService {
    node: Arc<Node>,
}

impl OperatorService {
    /// Answers for a node.
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

    async fn events(&self, request: EventsRequest) -> Vec<Event> {
        let query = EventsQuery {
            filter: request.filter,
            limit: request.limit,
        };
        let limit = usize::try_from(query.limit).unwrap_or(usize::MAX);
        let mut events = self.node.events.select(&query.filter, limit);
        let peers = self.node.peers.all();
        let calls = peers.iter().map(|(_, link)| link.events(query.clone()));
        events.extend(join_all(calls).await.into_iter().flatten().flatten());
        events.sort_by(|a, b| (a.time, &a.node).cmp(&(b.time, &b.node)));
        events
    }
}
