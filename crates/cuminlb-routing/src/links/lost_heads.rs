//! The group heads that this node or a relay has found lost.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use super::{LossSource, LostHead};

/// How long a node tells others of a head that it has found lost: two exchanges of load, 0.3 s apart.
const TELL_PERIOD: Duration = Duration::from_millis(600);

/// How long a relay passes on what another one has told it, from the first time on: one exchange of load.
/// Together with [`TELL_PERIOD`] it is less than [`MEMORY_PERIOD`].
const PASS_ON_PERIOD: Duration = Duration::from_millis(350);

/// How long a head is remembered, so that a repeated report of the same loss has no effect.
const MEMORY_PERIOD: Duration = Duration::from_secs(1);

/// The group heads that this node or a relay has found lost.
///
/// This handles a loss that a few nodes notice while all others go on sending requests to the head.
/// Relays tell each other only what they have found themselves. They tell their followers the same and
/// what the finding relay told them. Each is told for a limited time, so that nothing circulates.
#[derive(Debug, Default)]
pub struct LostHeads {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// When this node has found a head lost.
    found: HashMap<LostHead, Instant>,
    /// Who told this node first of a head, and when.
    told: HashMap<LostHead, (LossSource, Instant)>,
}

impl LostHeads {
    /// Records that this node has found a head lost.
    pub fn record_found(&self, head: LostHead, now: Instant) {
        let mut state = self.state();
        state.remove_old(now);
        state.found.insert(head, now);
    }

    /// Records the heads that another node told. Returns those that this node did not know to be lost.
    pub fn record_told(
        &self,
        heads: Vec<LostHead>,
        source: LossSource,
        now: Instant,
    ) -> Vec<LostHead> {
        let mut state = self.state();
        state.remove_old(now);
        let mut new = Vec::new();
        for head in heads {
            if !state.found.contains_key(&head) && !state.told.contains_key(&head) {
                state.told.insert(head.clone(), (source, now));
                new.push(head);
            }
        }
        new
    }

    /// Returns the heads that a relay tells other relays.
    pub fn for_relays(&self, now: Instant) -> Vec<LostHead> {
        let state = self.state();
        state.found_recently(now).cloned().collect()
    }

    /// Returns the heads that a relay tells its followers.
    pub fn for_followers(&self, now: Instant) -> Vec<LostHead> {
        let state = self.state();
        let told = state.told.iter().filter(|(_, (source, at))| {
            *source == LossSource::Finder && now.duration_since(*at) < PASS_ON_PERIOD
        });
        let told = told.map(|(head, _)| head);
        state.found_recently(now).chain(told).cloned().collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn found_recently(&self, now: Instant) -> impl Iterator<Item = &LostHead> {
        let recent = self
            .found
            .iter()
            .filter(move |(_, at)| now.duration_since(**at) < TELL_PERIOD);
        recent.map(|(head, _)| head)
    }

    fn remove_old(&mut self, now: Instant) {
        let is_recent = |at: &Instant| now.duration_since(*at) < MEMORY_PERIOD;
        self.found.retain(|_, at| is_recent(at));
        self.told.retain(|_, (_, at)| is_recent(at));
    }
}
