//! The interface between the relay server and the node that handles its calls.

use cuminlb_routing::{CrashReport, InFlightCount, SecondOpinion};
use cuminlb_types::prelude::*;

use crate::message::{
    ChunkRequest, GroupHealth, InstanceQuery, LoadReport, RelayedUpdate, SuspicionNotice,
    TableCursors, ValueChunk,
};

/// Handles the calls of `RelayApi`.
pub trait RelayHandler: Clone + Send + Sync + 'static {
    /// Returns the rows that changed after `cursors`; waits up to `wait_ms` for such a row.
    fn await_update(
        &self,
        cursors: TableCursors,
        wait_ms: Millis,
    ) -> impl Future<Output = RelayedUpdate> + Send;

    /// Returns those of the requested chunks that this node has.
    fn read_chunks(&self, request: &ChunkRequest) -> Vec<ValueChunk>;

    /// Records reported load and returns that of the other nodes.
    fn exchange_loads(&self, report: LoadReport) -> Vec<InFlightCount>;

    /// Probes the members of a group whose head is silent.
    fn check_group(&self, notice: SuspicionNotice) -> impl Future<Output = GroupHealth> + Send;

    /// Handles the notice of a peer that an instance has become silent.
    fn suspect(&self, notice: SuspicionNotice);

    /// Records reported crashes and returns those that this node knows of.
    fn exchange_crashes(&self, report: &CrashReport) -> CrashReport;

    /// Checks whether this node reaches an instance that a peer does not reach.
    fn examine_instance(&self, query: InstanceQuery) -> impl Future<Output = SecondOpinion> + Send;
}
