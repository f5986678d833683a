//! A deterministic simulation of the table, the nodes and the messages between them.

use std::collections::BTreeSet;
use std::time::Duration;

use cuminlb_fleet::freshness::FreshnessBounds;
use cuminlb_fleet::lease::LeaseTiming;
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::message::{Envelope, Message};
use crate::model_node::ModelNode;

/// The length of a tick.
pub const TICK_MS: u64 = 25;

/// The timing of the lease.
pub const TIMING: LeaseTiming = LeaseTiming {
    length_ms: Millis(4_000),
    margin_ms: Millis(500),
};

/// The bounds of every node.
pub const BOUNDS: FreshnessBounds = FreshnessBounds::new(Millis(3_500));

/// Counts what happened in a run, so that a test can check that it exercised each case.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// The number of times that a lease was taken over from another holder.
    pub takeovers: u32,
    /// The number of ticks, summed over nodes, in which a holder could act past the end of its
    /// lease.
    pub extended_holders: u32,
    /// The number of applies after which the nodes that lack the configuration had provably
    /// stopped.
    pub replaced: u32,
    /// The number of ticks, summed over nodes, in which a node was confirmed only by its outage
    /// extension.
    pub extended_nodes: u32,
}

/// The table, the nodes and the messages between them.
#[derive(Debug)]
pub struct Simulation {
    /// The nodes.
    pub nodes: Vec<ModelNode>,
    /// The delivery delay of a message, in ticks.
    pub delay_ticks: u64,
    /// What happened so far.
    pub counters: Counters,
    start: Instant,
    /// The number of ticks since the start.
    pub tick: u64,
    in_flight: Vec<Envelope>,
    blocked_links: BTreeSet<(usize, usize)>,
    /// The version of the configuration in the table.
    pub config: ConfigVersion,
    /// The row of the lease, with its version.
    pub row: Option<(RowVersion, LeaseRow)>,
    /// The version of the newest write.
    pub last_version: RowVersion,
    /// The newest configuration after whose commit all nodes that lack it had provably stopped.
    pub replaced_by: ConfigVersion,
}

impl Simulation {
    /// Creates one node for each element of `clocks_ppm`, the deviation of its clock in parts per
    /// million.
    pub fn new(clocks_ppm: &[i64]) -> Self {
        let node = |(index, ppm): (usize, &i64)| ModelNode::new(index, *ppm, BOUNDS);
        Self {
            nodes: clocks_ppm.iter().enumerate().map(node).collect(),
            delay_ticks: 0,
            counters: Counters::default(),
            start: Instant::now() + Duration::from_secs(60),
            tick: 0,
            in_flight: Vec::new(),
            blocked_links: BTreeSet::new(),
            config: ConfigVersion(1),
            row: None,
            last_version: RowVersion(0),
            replaced_by: ConfigVersion(0),
        }
    }

    /// Returns the time on the clock of a node.
    pub fn now(&self, node: usize) -> Instant {
        let ppm = u64::try_from(1_000_000 + self.nodes[node].clock_ppm).unwrap();
        self.start + Duration::from_micros(self.tick * TICK_MS * ppm / 1_000)
    }

    /// Pauses a node for some ticks.
    pub fn pause(&mut self, node: usize, ticks: u64) {
        self.nodes[node].paused_until_tick = self.tick + ticks;
    }

    /// Blocks calls from one node to another from now on; responses still arrive.
    pub fn block_link(&mut self, from: usize, to: usize) {
        self.blocked_links.insert((from, to));
    }

    /// Unblocks all links between nodes.
    pub fn unblock_links(&mut self) {
        self.blocked_links.clear();
    }

    /// Starts to commit a new configuration through a node, if it reaches the table and has no
    /// pending apply.
    pub fn start_apply(&mut self, node: usize) {
        if self.nodes[node].reaches_table && self.nodes[node].pending_apply.is_none() {
            self.send(node, Message::Commit);
        }
    }

    /// Advances time by one tick and checks the invariants.
    ///
    /// # Errors
    ///
    /// Returns a description of the violated invariant.
    pub fn step(&mut self) -> Result<(), String> {
        self.tick += 1;
        self.deliver();
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused_until_tick <= self.tick {
                self.run_due_actions(node);
            }
        }
        self.check()
    }

    fn check(&mut self) -> Result<(), String> {
        let mut holders = Vec::new();
        for index in 0..self.nodes.len() {
            let now = self.now(index);
            let node = &self.nodes[index];
            let is_confirmed = node.freshness.is_confirmed(now);
            if is_confirmed && node.config < self.replaced_by {
                return Err(format!(
                    "{} acts on {}, replaced by {}",
                    node.id, node.config, self.replaced_by
                ));
            }
            let is_fresh = node
                .freshness
                .age_ms(now)
                .is_some_and(|age| age <= BOUNDS.freshness_ms);
            self.counters.extended_nodes += u32::from(is_confirmed && !is_fresh);
            if node.holds_lease(now) {
                holders.push(node.id.clone());
                let is_valid = node.lease.is_some_and(|lease| lease.is_valid(now));
                self.counters.extended_holders += u32::from(!is_valid);
            }
        }
        if holders.len() > 1 {
            return Err(format!(
                "several lease holders at tick {}: {holders:?}",
                self.tick
            ));
        }
        Ok(())
    }

    /// Sends a message to a node, or to the table on its behalf.
    pub fn send(&mut self, node: usize, message: Message) {
        let incarnation = self.nodes[node].incarnation;
        let due_tick = self.tick + self.delay_ticks;
        self.in_flight.push(Envelope {
            due_tick,
            node,
            incarnation,
            message,
        });
    }

    fn deliver(&mut self) {
        for envelope in std::mem::take(&mut self.in_flight) {
            let node = &self.nodes[envelope.node];
            let is_for_table = matches!(
                envelope.message,
                Message::Read { .. } | Message::Write { .. } | Message::Commit
            );
            if envelope.due_tick > self.tick
                || (!is_for_table && node.paused_until_tick > self.tick)
            {
                self.in_flight.push(envelope);
            } else if is_for_table || node.incarnation == envelope.incarnation {
                self.handle(envelope);
            }
        }
    }

    /// Sends a message to every other node whose link is not blocked.
    pub fn send_to_peers(&mut self, node: usize, message: &Message) {
        for peer in 0..self.nodes.len() {
            if peer != node && !self.blocked_links.contains(&(node, peer)) {
                self.send(peer, message.clone());
            }
        }
    }
}
