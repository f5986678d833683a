//! The interface between the HTTP server for operators and the node.

use std::future::Future;

use super::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
    NodeStatus,
};

/// Handles operators' calls on a node.
pub trait OperatorHandler: Clone + Send + Sync + 'static {
    /// Applies a fleet file.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError`] if the file was not applied or the result is unknown.
    fn apply(
        &self,
        request: ApplyRequest,
    ) -> impl Future<Output = Result<ApplyReport, ApplyError>> + Send;

    /// Returns the state of the node, and of the fleet as known to it.
    fn status(&self) -> NodeStatus;

    /// Returns the state of the whole fleet, with each group as reported by its owner.
    fn fleet_status(&self) -> impl Future<Output = FleetStatus> + Send;

    /// Returns the current configuration.
    fn fleet(&self) -> FleetDocument;

    /// Returns the events of all nodes, merged in causal order.
    fn events(&self, request: EventsRequest) -> impl Future<Output = EventsReport> + Send;

    /// Returns whether the load balancer should send requests to the caller port.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text format.
    fn metrics_text(&self) -> String;
}
