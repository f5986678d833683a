//! Nodes that compete for a lease in a store that is restored from copies.

use std::time::Duration;

use cuminlb_fleet::lease::LeaseWrite;
use proptest::prelude::*;
use tokio::time::Instant;

use crate::restored_store::RestoredStore;
use crate::simulated_node::SimulatedNode;

/// How often a node that holds no lease checks it in [`Simulation::settle`].
const CHECK_PERIOD: Duration = Duration::from_millis(150);

/// Time in which a lease must be held again once all answers arrive.
const SETTLING: Duration = Duration::from_millis(6_000);

/// An event of a simulation; numbers select among the existing nodes and writes.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passes.
    Pass { ms: u64 },
    /// A node reads the row.
    Read(usize),
    /// A node sends a write if it may; only later does it get an answer.
    Send(usize),
    /// A node sends a write, and gets the answer at once.
    Call(usize),
    /// The store carries out a write that was sent before, maybe long ago.
    Land(usize),
    /// A node gets the answer that it waits for, if the store has given it.
    Receive(usize),
    /// A node gives up waiting for an answer.
    GiveUp(usize),
    /// A node releases its lease, if it holds one, and starts again. Only a node that finds a row
    /// can tell whether it comes from a copy.
    Restart(usize),
    /// Other rows are written.
    WriteOthers { count: u64 },
    /// The store is restored from a copy of some time ago.
    Restore { age_ms: u64 },
}

/// Generates any event.
pub fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (1..900_u64).prop_map(|ms| Event::Pass { ms }),
        4 => any::<usize>().prop_map(Event::Read),
        4 => any::<usize>().prop_map(Event::Send),
        6 => any::<usize>().prop_map(Event::Call),
        5 => any::<usize>().prop_map(Event::Land),
        3 => any::<usize>().prop_map(Event::Receive),
        2 => any::<usize>().prop_map(Event::GiveUp),
        1 => any::<usize>().prop_map(Event::Restart),
        1 => (1..4_u64).prop_map(|count| Event::WriteOthers { count }),
        1 => (0..6_000_u64).prop_map(|age_ms| Event::Restore { age_ms }),
    ]
}

/// Nodes that compete for a lease.
#[derive(Debug)]
pub struct Simulation {
    pub now: Instant,
    pub store: RestoredStore,
    pub nodes: Vec<SimulatedNode>,
    /// The writes that the store has not carried out, with their senders.
    in_flight: Vec<(usize, LeaseWrite)>,
}

impl Simulation {
    pub fn new(nodes: usize) -> Self {
        let now = Instant::now();
        let store = RestoredStore::new(now);
        let nodes = (0..nodes).map(|number| SimulatedNode::new(number, &store, now));
        Self {
            now,
            nodes: nodes.collect(),
            store,
            in_flight: Vec::new(),
        }
    }

    /// Returns the nodes whose leases are valid by their own clocks.
    pub fn holders(&self) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        nodes
            .filter(|&node| self.nodes[node].is_valid(self.now))
            .collect()
    }

    pub fn apply(&mut self, event: &Event) {
        let count = self.nodes.len();
        match *event {
            Event::Pass { ms } => self.now += Duration::from_millis(ms),
            Event::Read(node) => self.nodes[node % count].read(&self.store),
            Event::Send(node) => {
                self.send(node % count);
            }
            Event::Call(node) => self.call(node % count),
            Event::Land(index) if !self.in_flight.is_empty() => {
                let index = index % self.in_flight.len();
                self.land(index);
            }
            Event::Land(_) => {}
            Event::Receive(node) => self.nodes[node % count].receive(&self.store, self.now),
            Event::GiveUp(node) => self.nodes[node % count].give_up(self.now),
            Event::Restart(node) if self.store.read().is_some() => {
                let node = node % count;
                let released = self.nodes[node].restart(&self.store, self.now);
                self.in_flight.extend(released.map(|write| (node, write)));
            }
            Event::Restart(_) => {}
            Event::WriteOthers { count } => self.store.write_other_rows(count, self.now),
            Event::Restore { age_ms } => {
                let age = Duration::from_millis(age_ms);
                self.store.restore(age, self.now);
            }
        }
    }

    /// Lets all nodes act without faults; returns the holders afterwards.
    pub fn settle(&mut self) -> Vec<usize> {
        self.in_flight.clear();
        let end = self.now + SETTLING;
        while self.now < end {
            self.now += CHECK_PERIOD;
            for node in 0..self.nodes.len() {
                self.nodes[node].give_up(self.now);
                self.nodes[node].read(&self.store);
                self.call(node);
            }
            assert!(self.holders().len() <= 1);
        }
        self.holders()
    }

    fn send(&mut self, node: usize) -> bool {
        let write = self.nodes[node].send(&self.store, self.now);
        let is_sent = write.is_some();
        self.in_flight.extend(write.map(|write| (node, write)));
        is_sent
    }

    fn call(&mut self, node: usize) {
        if self.send(node) {
            self.land(self.in_flight.len() - 1);
            self.nodes[node].receive(&self.store, self.now);
        }
    }

    /// Carries out a write; its sender gets the answer unless it has given up.
    fn land(&mut self, index: usize) {
        let (node, write) = self.in_flight.swap_remove(index);
        let given = self.store.write(&write, self.now);
        match &mut self.nodes[node].waiting {
            Some((waiting, answer)) if *waiting == write => *answer = Some(given),
            _ => {}
        }
    }
}
