//! [`World`].

use std::collections::BTreeSet;
use std::time::Duration;

use cuminlb_fleet::lease::LeaseTerms;
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_fleet::standing::StandingBounds;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::message::{Mail, Message};
use crate::model_node::ModelNode;

/// The length of a tick.
pub const TICK_MS: u64 = 25;

/// The terms of the lease.
pub const TERMS: LeaseTerms = LeaseTerms {
    length_ms: Millis(4_000),
    margin_ms: Millis(500),
};

/// The bounds of every node.
pub const BOUNDS: StandingBounds = StandingBounds::new(Millis(3_500));

/// What happened in a run, so that a test can tell that it is not empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Leases taken over from another holder.
    pub takeovers: u32,
    /// Times at which a holder acted past the end of its lease.
    pub covered_holders: u32,
    /// Applies after which unconfirmed nodes had provably stopped.
    pub replaced: u32,
    /// Times at which a node acted by its cover alone.
    pub covered: u32,
}

/// The table, the nodes and the messages between them.
#[derive(Debug)]
pub struct World {
    /// The nodes.
    pub nodes: Vec<ModelNode>,
    /// The time that a message takes.
    pub delay_ticks: u64,
    /// What happened.
    pub seen: Seen,
    start: Instant,
    /// The ticks since the start.
    pub tick: u64,
    mail: Vec<Mail>,
    cuts: BTreeSet<(usize, usize)>,
    /// The configuration in the table.
    pub config: ConfigVersion,
    /// The row of the lease.
    pub row: Option<(RowVersion, LeaseRow)>,
    /// The version of the newest write.
    pub last_row: RowVersion,
    /// The newest configuration whose replacement was reported.
    pub replaced: ConfigVersion,
}

impl World {
    /// Starts nodes whose clocks run at the rates given.
    pub fn new(clocks_ppm: &[i64]) -> Self {
        let node = |(index, ppm): (usize, &i64)| ModelNode::new(index, *ppm, BOUNDS);
        Self {
            nodes: clocks_ppm.iter().enumerate().map(node).collect(),
            delay_ticks: 0,
            seen: Seen::default(),
            start: Instant::now() + Duration::from_secs(60),
            tick: 0,
            mail: Vec::new(),
            cuts: BTreeSet::new(),
            config: ConfigVersion(1),
            row: None,
            last_row: RowVersion(0),
            replaced: ConfigVersion(0),
        }
    }

    /// Returns the time on the clock of a node.
    pub fn now(&self, node: usize) -> Instant {
        let ppm = u64::try_from(1_000_000 + self.nodes[node].clock_ppm).unwrap();
        self.start + Duration::from_micros(self.tick * TICK_MS * ppm / 1_000)
    }

    /// Pauses a node for some ticks.
    pub fn pause(&mut self, node: usize, ticks: u64) {
        self.nodes[node].paused_until = self.tick + ticks;
    }

    /// Lets calls of one node to another fail from now on.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Lets all calls between nodes work again.
    pub fn rejoin(&mut self) {
        self.cuts.clear();
    }

    /// Starts a configuration's commit at a node.
    pub fn apply(&mut self, node: usize) {
        if self.nodes[node].reaches_table && self.nodes[node].apply.is_none() {
            self.send(node, Message::Commit);
        }
    }

    /// Lets time go on by one tick and checks what must always hold.
    pub fn step(&mut self) -> Result<(), String> {
        self.tick += 1;
        self.deliver();
        for node in 0..self.nodes.len() {
            if self.nodes[node].paused_until <= self.tick {
                self.act(node);
            }
        }
        self.check()
    }

    fn check(&mut self) -> Result<(), String> {
        let mut holders = Vec::new();
        for index in 0..self.nodes.len() {
            let now = self.now(index);
            let node = &self.nodes[index];
            let confirmed = node.standing.is_confirmed(now);
            if confirmed && node.config < self.replaced {
                return Err(format!(
                    "{} acts on {}, replaced by {}",
                    node.id, node.config, self.replaced
                ));
            }
            let is_fresh = node
                .standing
                .age_ms(now)
                .is_some_and(|age| age <= BOUNDS.freshness_ms);
            self.seen.covered += u32::from(confirmed && !is_fresh);
            if node.holds_lease(now) {
                holders.push(node.id.clone());
                let runs = node.lease.is_some_and(|lease| lease.is_valid(now));
                self.seen.covered_holders += u32::from(!runs);
            }
        }
        if holders.len() > 1 {
            return Err(format!("two holders at tick {}: {holders:?}", self.tick));
        }
        Ok(())
    }

    /// Sends a message to a node, or to the table on its behalf.
    pub fn send(&mut self, node: usize, message: Message) {
        let incarnation = self.nodes[node].incarnation;
        let due = self.tick + self.delay_ticks;
        self.mail.push(Mail {
            due,
            node,
            incarnation,
            message,
        });
    }

    fn deliver(&mut self) {
        for mail in std::mem::take(&mut self.mail) {
            let node = &self.nodes[mail.node];
            let at_table = matches!(
                mail.message,
                Message::Read { .. } | Message::Write { .. } | Message::Commit
            );
            if mail.due > self.tick || (!at_table && node.paused_until > self.tick) {
                self.mail.push(mail);
            } else if at_table || node.incarnation == mail.incarnation {
                self.handle(mail);
            }
        }
    }

    /// Sends a message to each node that can be called.
    pub fn call_peers(&mut self, node: usize, message: &Message) {
        for peer in 0..self.nodes.len() {
            if peer != node && !self.cuts.contains(&(node, peer)) {
                self.send(peer, message.clone());
            }
        }
    }
}
