//! [`OperatorHandler`].

use std::future::Future;

use cuminlb_events::Event;

use super::{ApplyError, ApplyReport, ApplyRequest, EventsRequest, FleetDocument, NodeStatus};

/// What a node does with operators' calls.
pub trait OperatorHandler: Clone + Send + Sync + 'static {
    /// Puts a fleet file in force.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] when the file was not accepted.
    fn apply(
        &self,
        request: ApplyRequest,
    ) -> impl Future<Output = Result<ApplyReport, ApplyError>> + Send;

    /// Returns the state of the node and of the fleet as the node sees it.
    fn status(&self) -> NodeStatus;

    /// Returns the configuration in force.
    fn fleet(&self) -> FleetDocument;

    /// Returns the newest events of all nodes, merged in their causal order.
    fn events(&self, request: EventsRequest) -> impl Future<Output = Vec<Event>> + Send;
}
