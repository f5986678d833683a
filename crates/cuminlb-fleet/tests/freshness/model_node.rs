//! [`ModelNode`].

use std::collections::BTreeSet;

use cuminlb_fleet::lease::{HeldLease, SeenLease};
use cuminlb_fleet::standing::{Clearance, NodeStanding, Replacement, StandingBounds};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// A gathering before a takeover.
#[derive(Clone, Debug)]
pub struct Gathering {
    /// When the read before it was sent.
    pub read_sent_at: Instant,
    /// The version of the lease row that will be taken over.
    pub version: RowVersion,
    /// The nodes that took the notice.
    pub told: BTreeSet<usize>,
}

/// An apply that waits for the nodes to confirm it.
#[derive(Clone, Debug)]
pub struct Apply {
    /// The version that was committed.
    pub version: ConfigVersion,
    /// What is known of those who lack it.
    pub replacement: Replacement,
    /// The nodes that took the notice.
    pub told: BTreeSet<usize>,
}

/// One node: the decisions under test, and the least that carries them out.
#[derive(Clone, Debug)]
pub struct ModelNode {
    /// The id of the node.
    pub id: NodeId,
    /// How much faster the node's clock runs than the world's, in parts per million.
    pub clock_ppm: i64,
    /// Tells this start from earlier ones.
    pub incarnation: u32,
    /// The decisions.
    pub standing: NodeStanding,
    /// The configuration in force.
    pub config: ConfigVersion,
    /// The lease that the node believes to hold.
    pub lease: Option<HeldLease>,
    /// The lease of another holder.
    pub seen: Option<SeenLease>,
    /// The gathering under way.
    pub gathering: Option<Gathering>,
    /// The right to take a lease over, with the version of the row.
    pub clearance: Option<(Clearance, RowVersion)>,
    /// The apply under way.
    pub apply: Option<Apply>,
    /// The tick until which the node is paused.
    pub paused_until: u64,
    /// Whether the node reaches the table.
    pub reaches_table: bool,
    /// Whether the node can have a newer configuration from a peer.
    pub pulls_config: bool,
}

impl ModelNode {
    /// Starts a node.
    pub fn new(index: usize, clock_ppm: i64, bounds: StandingBounds) -> Self {
        let id: NodeId = format!("node-{index}").parse().unwrap();
        Self {
            standing: NodeStanding::new(id.clone(), bounds),
            id,
            clock_ppm,
            incarnation: 0,
            config: ConfigVersion(0),
            lease: None,
            seen: None,
            gathering: None,
            clearance: None,
            apply: None,
            paused_until: 0,
            reaches_table: true,
            pulls_config: true,
        }
    }

    /// Starts the node again without any memory.
    pub fn restart(&mut self, bounds: StandingBounds) {
        let fresh = Self::new(0, self.clock_ppm, bounds);
        *self = Self {
            standing: NodeStanding::new(self.id.clone(), bounds),
            id: self.id.clone(),
            incarnation: self.incarnation + 1,
            reaches_table: self.reaches_table,
            pulls_config: self.pulls_config,
            ..fresh
        };
    }

    /// Tells whether the node may act as the holder of the lease.
    pub fn holds_lease(&self, now: Instant) -> bool {
        self.lease
            .is_some_and(|lease| self.standing.is_lease_valid(&lease, now))
    }
}
