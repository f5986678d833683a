//! A simulated node.

use std::collections::BTreeSet;

use cuminlb_fleet::freshness::{
    ConfigReplacement, FreshnessBounds, NodeFreshness, TakeoverClearance,
};
use cuminlb_fleet::lease::{HeldLease, ObservedLease};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// A round of notices before a takeover.
#[derive(Clone, Debug)]
pub struct NoticeRound {
    /// When the read that precedes the round was sent.
    pub read_sent_at: Instant,
    /// The version of the lease row that will be taken over.
    pub version: RowVersion,
    /// The nodes that acknowledged the notice, this one included.
    pub notified: BTreeSet<usize>,
}

/// A committed configuration that not all nodes have confirmed yet.
#[derive(Clone, Debug)]
pub struct PendingApply {
    /// The version that was committed.
    pub version: ConfigVersion,
    /// Determines when the nodes that lack the version have provably stopped.
    pub replacement: ConfigReplacement,
    /// The nodes that acknowledged the notice, this one included.
    pub notified: BTreeSet<usize>,
}

/// A node: the decision logic under test, with the minimum of state to act on it.
#[derive(Clone, Debug)]
pub struct ModelNode {
    /// The id of the node.
    pub id: NodeId,
    /// How much faster the node's clock runs than the simulation's, in parts per million.
    pub clock_ppm: i64,
    /// The incarnation, which increases with each restart.
    pub incarnation: u32,
    /// The decision logic under test.
    pub freshness: NodeFreshness,
    /// The active configuration.
    pub config: ConfigVersion,
    /// The lease that the node believes it holds.
    pub lease: Option<HeldLease>,
    /// The lease of another holder, as last read.
    pub observed: Option<ObservedLease>,
    /// The current round of notices.
    pub notice_round: Option<NoticeRound>,
    /// The permission to take over a lease, with the version of its row.
    pub clearance: Option<(TakeoverClearance, RowVersion)>,
    /// The current apply.
    pub pending_apply: Option<PendingApply>,
    /// The tick until which the node is paused.
    pub paused_until_tick: u64,
    /// Whether the node reaches the table.
    pub reaches_table: bool,
    /// Whether the node can pull a newer configuration from a peer.
    pub can_pull_config: bool,
}

impl ModelNode {
    /// Creates a node that has just started.
    pub fn new(index: usize, clock_ppm: i64, bounds: FreshnessBounds) -> Self {
        let id: NodeId = format!("node-{index}").parse().unwrap();
        Self {
            freshness: NodeFreshness::new(id.clone(), bounds),
            id,
            clock_ppm,
            incarnation: 0,
            config: ConfigVersion(0),
            lease: None,
            observed: None,
            notice_round: None,
            clearance: None,
            pending_apply: None,
            paused_until_tick: 0,
            reaches_table: true,
            can_pull_config: true,
        }
    }

    /// Restarts the node; it loses its state.
    pub fn restart(&mut self, bounds: FreshnessBounds) {
        let restarted = Self::new(0, self.clock_ppm, bounds);
        *self = Self {
            freshness: NodeFreshness::new(self.id.clone(), bounds),
            id: self.id.clone(),
            incarnation: self.incarnation + 1,
            reaches_table: self.reaches_table,
            can_pull_config: self.can_pull_config,
            ..restarted
        };
    }

    /// Returns whether the node may act as the holder of the lease.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease
            .is_some_and(|lease| self.freshness.is_lease_valid(&lease, now))
    }
}
