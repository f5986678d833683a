//! The tarpc service of the calls between nodes that follow a platform's store.
//!
//! The order of its methods and of their parameters is part of the wire format.

use cuminlb_routing::{CrashReport, InFlightCount, SecondOpinion};
use cuminlb_types::prelude::*;

use crate::message::{
    ChunkRequest, GroupHealth, InstanceQuery, LoadReport, RelayedUpdate, SuspicionNotice,
    TableCursors, ValueChunk,
};

/// The calls between nodes that follow a platform's store.
#[tarpc::service]
pub trait RelayApi {
    /// Returns the rows that changed after `cursors`, as known to the called node, which waits up
    /// to `wait_ms` for such a row.
    async fn await_update(cursors: TableCursors, wait_ms: Millis) -> RelayedUpdate;

    /// Returns those of the requested chunks that the called node has.
    async fn read_chunks(request: ChunkRequest) -> Vec<ValueChunk>;

    /// Reports load and returns that of the other nodes: to a follower the sums over all other
    /// nodes, to a relay those of the called one with its followers.
    async fn exchange_loads(report: LoadReport) -> Vec<InFlightCount>;

    /// Probes the members of a group whose head is silent, once for all nodes that ask at about the
    /// same time, and notifies the leader if the group is unhealthy.
    async fn check_group(notice: SuspicionNotice) -> GroupHealth;

    /// Notifies the leader that an instance has become silent.
    async fn suspect(notice: SuspicionNotice);

    /// Reports crashes and returns those that the called node knows of.
    async fn exchange_crashes(report: CrashReport) -> CrashReport;

    /// Checks whether the called node reaches an instance that the caller does not reach.
    async fn examine_instance(query: InstanceQuery) -> SecondOpinion;
}
