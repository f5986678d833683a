//! [`FairQueue`].

use std::collections::{BTreeMap, HashMap};

use cuminlb_types::prelude::*;

use super::Priority;

/// The virtual time that one request of a team of weight 1 takes.
const COST: u64 = 1 << 24;

/// The place of one request in a queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuePlace {
    team: TeamId,
    key: (Priority, u64),
}

/// Waiting requests, ordered by weighted fair queueing over the teams.
///
/// Each team's requests are served at times of a virtual clock that are further apart the smaller
/// its weight is; a team that did not wait saves nothing up.
#[derive(Debug)]
pub struct FairQueue<T> {
    max_waiting: usize,
    waiting: usize,
    next_number: u64,
    virtual_time: u64,
    teams: HashMap<TeamId, TeamLine<T>>,
}

#[derive(Debug)]
struct TeamLine<T> {
    weight: ShareWeight,
    next_time: u64,
    line: BTreeMap<(Priority, u64), T>,
}

impl<T> TeamLine<T> {
    fn weight(&self) -> u64 {
        u64::from(self.weight.get().max(1))
    }

    /// Returns the length against the weight, to compare teams by.
    fn is_longer_than(&self, other: &Self) -> bool {
        self.line.len() as u64 * other.weight() > other.line.len() as u64 * self.weight()
    }
}

impl<T> FairQueue<T> {
    /// Creates an empty queue that holds up to `max_waiting` requests.
    pub fn new(max_waiting: SlotCount) -> Self {
        Self {
            max_waiting: max_waiting.get() as usize,
            waiting: 0,
            next_number: 0,
            virtual_time: 0,
            teams: HashMap::new(),
        }
    }

    /// Returns the number of requests that wait.
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Tells whether no request waits.
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Adds a request and returns its place.
    ///
    /// A full queue gives up the newest request of the team whose line is longest against its
    /// weight, which is the second value; that may be the request that is added.
    pub fn push(
        &mut self,
        team: &TeamId,
        weight: ShareWeight,
        priority: Priority,
        item: T,
    ) -> (QueuePlace, Option<T>) {
        let key = (priority, self.next_number);
        self.next_number += 1;
        let virtual_time = self.virtual_time;
        let line = self.teams.entry(team.clone()).or_insert_with(|| TeamLine {
            weight,
            next_time: virtual_time,
            line: BTreeMap::new(),
        });
        line.weight = weight;
        if line.line.is_empty() {
            line.next_time = line.next_time.max(virtual_time);
        }
        line.line.insert(key, item);
        self.waiting += 1;
        let evicted = (self.waiting > self.max_waiting).then(|| self.evict());
        let team = team.clone();
        (QueuePlace { team, key }, evicted.flatten())
    }

    /// Removes the request that is next.
    pub fn pop(&mut self) -> Option<T> {
        let waiting = self.teams.values_mut().filter(|team| !team.line.is_empty());
        let first_key = |team: &TeamLine<T>| team.line.keys().next().map(|(_, number)| *number);
        let next = waiting.min_by_key(|team| (team.next_time, first_key(team)))?;
        self.virtual_time = next.next_time;
        next.next_time += COST / next.weight();
        let (_, item) = next.line.pop_first()?;
        self.note_removed();
        Some(item)
    }

    /// Removes the request at a place, where it still waits.
    pub fn remove(&mut self, place: &QueuePlace) -> Option<T> {
        let item = self.teams.get_mut(&place.team)?.line.remove(&place.key)?;
        self.note_removed();
        Some(item)
    }

    /// Returns how many requests are served before a new one of a team would be, at most.
    pub fn ahead_of(&self, team: &TeamId, weight: ShareWeight) -> usize {
        let own = self.teams.get(team).map_or(0, |line| line.line.len());
        let weight = u64::from(weight.get().max(1));
        let others = self.teams.iter().filter(|(id, _)| *id != team);
        let others = others.map(|(_, line)| {
            let share = (own as u64 + 1) * line.weight() / weight + 1;
            line.line
                .len()
                .min(usize::try_from(share).unwrap_or(usize::MAX))
        });
        own + others.sum::<usize>()
    }

    fn evict(&mut self) -> Option<T> {
        let longest = self.teams.values_mut().reduce(|longest, team| {
            if team.is_longer_than(longest) {
                team
            } else {
                longest
            }
        })?;
        let (_, item) = longest.line.pop_last()?;
        self.note_removed();
        Some(item)
    }

    /// Forgets teams that do not wait once the queue is empty, so that it stays small.
    fn note_removed(&mut self) {
        self.waiting -= 1;
        if self.waiting == 0 {
            let virtual_time = self.virtual_time;
            self.teams.retain(|_, team| team.next_time > virtual_time);
        }
    }
}
