//! Weighted fair queueing over the teams whose requests wait for one service.

use std::collections::{BTreeMap, HashMap};

use cuminlb_types::prelude::*;

use super::Priority;

/// The virtual time charged for one request of a team with weight 1.
const REQUEST_COST: u64 = 1 << 24;

/// The position of one request in a [`FairQueue`], by which it can be removed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePosition {
    team: TeamId,
    key: (Priority, u64),
}

/// Waiting requests, ordered by weighted fair queueing over the teams.
///
/// The requests of a team are served at points of a virtual clock whose spacing is inversely
/// proportional to the team's weight. A team without waiting requests accumulates no credit.
#[derive(Debug)]
pub struct FairQueue<T> {
    max_waiting: usize,
    waiting: usize,
    next_sequence: u64,
    virtual_time: u64,
    teams: HashMap<TeamId, TeamQueue<T>>,
}

#[derive(Debug)]
struct TeamQueue<T> {
    weight: ShareWeight,
    next_virtual_time: u64,
    requests: BTreeMap<(Priority, u64), T>,
}

impl<T> TeamQueue<T> {
    fn weight(&self) -> u64 {
        u64::from(self.weight.get().max(1))
    }

    /// Returns whether this queue is longer than `other`, relative to the weights of the teams.
    fn is_longer_than(&self, other: &Self) -> bool {
        self.requests.len() as u64 * other.weight() > other.requests.len() as u64 * self.weight()
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that holds up to `max_waiting` requests.
    pub fn new(max_waiting: SlotCount) -> Self {
        Self {
            max_waiting: max_waiting.get() as usize,
            waiting: 0,
            next_sequence: 0,
            virtual_time: 0,
            teams: HashMap::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Adds a request and returns its position.
    ///
    /// If the queue is full, the newest request of the team with the longest queue relative to its
    /// weight is evicted and returned as the second value. That may be the request just added.
    pub fn push(
        &mut self,
        team: &TeamId,
        weight: ShareWeight,
        priority: Priority,
        item: T,
    ) -> (QueuePosition, Option<T>) {
        let key = (priority, self.next_sequence);
        self.next_sequence += 1;
        let virtual_time = self.virtual_time;
        let queue = self.teams.entry(team.clone()).or_insert_with(|| TeamQueue {
            weight,
            next_virtual_time: virtual_time,
            requests: BTreeMap::new(),
        });
        queue.weight = weight;
        if queue.requests.is_empty() {
            queue.next_virtual_time = queue.next_virtual_time.max(virtual_time);
        }
        queue.requests.insert(key, item);
        self.waiting += 1;
        let evicted = (self.waiting > self.max_waiting).then(|| self.evict());
        let team = team.clone();
        (QueuePosition { team, key }, evicted.flatten())
    }

    /// Removes and returns the next request to serve.
    pub fn pop(&mut self) -> Option<T> {
        let waiting = self
            .teams
            .values_mut()
            .filter(|team| !team.requests.is_empty());
        let first_sequence =
            |team: &TeamQueue<T>| team.requests.keys().next().map(|(_, sequence)| *sequence);
        let next = waiting.min_by_key(|team| (team.next_virtual_time, first_sequence(team)))?;
        self.virtual_time = next.next_virtual_time;
        next.next_virtual_time += REQUEST_COST / next.weight();
        let (_, item) = next.requests.pop_first()?;
        self.record_removal();
        Some(item)
    }

    /// Removes the request at `position` if it still waits.
    pub fn remove(&mut self, position: &QueuePosition) -> Option<T> {
        let item = self
            .teams
            .get_mut(&position.team)?
            .requests
            .remove(&position.key)?;
        self.record_removal();
        Some(item)
    }

    /// Returns an upper bound on the number of requests served before a new request of `team`.
    pub fn max_ahead_of(&self, team: &TeamId, weight: ShareWeight) -> usize {
        let own = self.teams.get(team).map_or(0, |queue| queue.requests.len());
        let weight = u64::from(weight.get().max(1));
        let others = self.teams.iter().filter(|(id, _)| *id != team);
        let others = others.map(|(_, queue)| {
            let max_served = (own as u64 + 1) * queue.weight() / weight + 1;
            queue
                .requests
                .len()
                .min(usize::try_from(max_served).unwrap_or(usize::MAX))
        });
        own + others.sum::<usize>()
    }

    /// Removes the newest request of the team with the longest queue relative to its weight.
    fn evict(&mut self) -> Option<T> {
        let longest = self.teams.values_mut().reduce(|longest, team| {
            if team.is_longer_than(longest) {
                team
            } else {
                longest
            }
        })?;
        let (_, item) = longest.requests.pop_last()?;
        self.record_removal();
        Some(item)
    }

    /// Updates the count after a removal. Once the queue is empty, removes the teams that the
    /// virtual clock has passed, so that the map stays small.
    fn record_removal(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            let virtual_time = self.virtual_time;
            self.teams
                .retain(|_, team| team.next_virtual_time > virtual_time);
        }
    }
}
