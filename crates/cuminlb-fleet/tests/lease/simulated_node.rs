//! A node that may hold the lease, with what it last read and the write that it waits for.

use cuminlb_fleet::lease::{LeaseAnswer, LeaseCandidate, LeaseWrite, LeaseWriteOutcome};
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::restored_store::RestoredStore;
use crate::support::{TIMING, candidate};

/// A node that may hold the lease.
#[derive(Debug)]
pub struct SimulatedNode {
    pub candidate: LeaseCandidate,
    number: usize,
    starts: u64,
    /// What the node last read, and the era in which it did.
    view: (StoreEra, Option<(LeaseRow, StoreVersion)>),
    /// The latest era of which the node has heard in any answer.
    known_era: StoreEra,
    /// The write whose answer the node waits for, and its answer if the store has carried it out.
    pub waiting: Option<(LeaseWrite, Option<LeaseAnswer>)>,
}

impl SimulatedNode {
    /// Creates a node that has checked the lease before the store was ever restored.
    pub fn new(number: usize, store: &RestoredStore, now: Instant) -> Self {
        let mut node = Self {
            candidate: candidate(number, 1),
            number,
            starts: 1,
            view: (store.era, None),
            known_era: store.era,
            waiting: None,
        };
        node.read(store);
        node.may_acquire(now);
        node
    }

    /// Starts the node again; returns the write that releases its lease if it holds one.
    pub fn restart(&mut self, store: &RestoredStore, now: Instant) -> Option<LeaseWrite> {
        let held = self.candidate.held();
        let release = held.map(|_| self.candidate.prepare_write(Millis(0), now));
        self.starts += 1;
        self.candidate = candidate(self.number, self.starts);
        self.waiting = None;
        self.read(store);
        self.may_acquire(now);
        release
    }

    pub fn is_valid(&self, now: Instant) -> bool {
        let held = self.candidate.held();
        held.is_some_and(|held| held.is_valid(now))
    }

    pub fn read(&mut self, store: &RestoredStore) {
        self.view = (store.era, store.read());
        self.known_era = store.era;
    }

    /// Returns the write that this node would send now. A node that has heard of a later era than
    /// that of its condition reads the row instead.
    pub fn send(&mut self, store: &RestoredStore, now: Instant) -> Option<LeaseWrite> {
        if self.waiting.is_some() {
            return None;
        }
        let may_write = self.candidate.held().is_some() || self.may_acquire(now);
        if !may_write {
            return None;
        }
        let write = self.candidate.prepare_write(TIMING.length_ms, now);
        if write.expected.era < self.known_era {
            self.handle(&write, store.conflict(), store, now);
            return None;
        }
        self.waiting = Some((write.clone(), None));
        Some(write)
    }

    fn may_acquire(&mut self, now: Instant) -> bool {
        match self.view.clone() {
            (_, Some((row, version))) => self.candidate.may_acquire(row, version, now),
            (era, None) => self.candidate.may_acquire_absent(era, now),
        }
    }

    /// Gets the answer that the store has given, if it has.
    pub fn receive(&mut self, store: &RestoredStore, now: Instant) {
        if let Some((write, Some(answer))) = self.waiting.take_if(|(_, answer)| answer.is_some()) {
            self.handle(&write, answer, store, now);
        }
    }

    /// Gives up waiting for an answer.
    pub fn give_up(&mut self, now: Instant) {
        if let Some((write, _)) = self.waiting.take() {
            let answer = LeaseAnswer::Unknown;
            self.candidate.handle_answer(&write, answer, now);
        }
    }

    /// Handles an answer. After a restoration, the next write is sent as any other.
    fn handle(
        &mut self,
        write: &LeaseWrite,
        answer: LeaseAnswer,
        store: &RestoredStore,
        now: Instant,
    ) {
        if let LeaseAnswer::Written { version } | LeaseAnswer::Conflict { version, .. } = &answer {
            self.known_era = self.known_era.max(version.era);
        }
        let outcome = self.candidate.handle_answer(write, answer, now);
        assert!(outcome != LeaseWriteOutcome::Unknown);
        assert!(self.known_era <= store.era);
    }
}
