//! The server side of the calls between nodes.

use std::sync::Arc;

use cuminlb_peer::{
    ChunkRequest, GroupHealth, InstanceQuery, LoadReport, LoadScope, RelayHandler, RelayedUpdate,
    SuspicionNotice, TableCursors, ValueChunk,
};
use cuminlb_routing::{CrashReport, InFlightCount, LossSource, LostHead, SecondOpinion};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::serving::GroupChecks;

/// Responds to the calls of the other nodes.
#[derive(Clone, Debug)]
pub(crate) struct RelayService {
    gateway: Arc<Gateway>,
}

impl RelayService {
    pub(crate) const fn new(gateway: Arc<Gateway>) -> Self {
        Self { gateway }
    }
}

impl RelayHandler for RelayService {
    async fn await_update(&self, cursors: TableCursors, wait_ms: Millis) -> RelayedUpdate {
        self.gateway.follower.await_update(cursors, wait_ms).await
    }

    fn read_chunks(&self, request: &ChunkRequest) -> Vec<ValueChunk> {
        self.gateway.replica.read_chunks(request)
    }

    fn exchange_loads(&self, report: LoadReport) -> Vec<InFlightCount> {
        let own = self.gateway.loads.in_flight_counts();
        let board = &self.gateway.load_board;
        let now = Instant::now();
        let LoadReport {
            node,
            scope,
            mut counts,
        } = report;
        let lost_heads = &self.gateway.lost_heads;
        let (mut told, lost) = match scope {
            LoadScope::Node => {
                let told = board.exchange_with_follower(&node, counts, &own, now);
                (told, lost_heads.for_followers(now))
            }
            LoadScope::Relay => {
                let source = LossSource::Finder;
                self.gateway.take_reported_losses(&mut counts, source);
                let told = board.exchange_with_relay(&node, counts, &own, now);
                (told, lost_heads.for_relays(now))
            }
        };
        told.extend(lost.iter().filter_map(LostHead::to_entry));
        told
    }

    async fn check_group(&self, notice: SuspicionNotice) -> GroupHealth {
        GroupChecks::check_in_time(&self.gateway, notice).await
    }

    fn suspect(&self, notice: SuspicionNotice) {
        self.gateway.suspicions.add(notice);
    }

    fn exchange_crashes(&self, report: &CrashReport) -> CrashReport {
        let board = &self.gateway.crash_board;
        let now = Instant::now();
        board.merge(report, now);
        board.report(now)
    }

    async fn examine_instance(&self, query: InstanceQuery) -> SecondOpinion {
        self.gateway.examine_instance(&query).await
    }
}
