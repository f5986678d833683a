//! [`OperatorHandler`].

use std::future::Future;

use super::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
    NodeStatus,
};

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

    /// Returns the state of the whole fleet, each group as its owner sees it.
    fn fleet_status(&self) -> impl Future<Output = FleetStatus> + Send;

    /// Returns the configuration in force.
    fn fleet(&self) -> FleetDocument;

    /// Returns events of all nodes, merged in their causal order.
    fn events(&self, request: EventsRequest) -> impl Future<Output = EventsReport> + Send;

    /// Tells whether the balancer should send requests to the caller port.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the text format of Prometheus.
    fn metrics_text(&self) -> String;
}
