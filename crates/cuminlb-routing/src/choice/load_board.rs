//! The load that nodes report to each other.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{InFlightCount, LoadKey};

/// Age from which on a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_500);

/// The requests in flight at instances, as nodes report them to each other.
///
/// A node reports its own counts to the relay that it follows. Relays tell each other the sum of
/// their own counts and those of their followers, and tell each follower the sum over all other
/// nodes. Among hundreds of nodes, each of which sends few requests, no node knows the load of an
/// instance from its own requests.
#[derive(Debug, Default)]
pub struct LoadBoard {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The counts of the nodes that follow this one.
    followers: HashMap<NodeId, Report>,
    /// The sums of the other relays.
    relays: HashMap<NodeId, Report>,
    /// The sums over all other nodes, as the relay of this node told them.
    told: Option<Report>,
    /// The sums over all other nodes.
    others: HashMap<LoadKey, u32>,
}

#[derive(Debug)]
struct Report {
    counts: Vec<InFlightCount>,
    received_at: Instant,
}

impl Report {
    const fn new(counts: Vec<InFlightCount>, received_at: Instant) -> Self {
        Self {
            counts,
            received_at,
        }
    }

    fn is_recent(&self, now: Instant) -> bool {
        now.duration_since(self.received_at) < MAX_REPORT_AGE
    }
}

impl LoadBoard {
    /// Records the counts of a node that follows this one, and returns the sums over all other
    /// nodes; `own` are the counts of this node.
    pub fn exchange_with_follower(
        &self,
        node: &NodeId,
        counts: Vec<InFlightCount>,
        own: &[InFlightCount],
        now: Instant,
    ) -> Vec<InFlightCount> {
        let mut state = self.state();
        let report = Report::new(counts, now);
        state.followers.insert(node.clone(), report);
        state.remove_old(now);
        let followers = state.followers.iter().filter(|(id, _)| *id != node);
        let followers = followers.map(|(_, report)| report.counts.as_slice());
        let relays = state.relays.values().map(|report| report.counts.as_slice());
        sum(followers.chain(relays).chain([own]))
    }

    /// Records the sums of another relay, and returns those of this one with its followers.
    pub fn exchange_with_relay(
        &self,
        node: &NodeId,
        counts: Vec<InFlightCount>,
        own: &[InFlightCount],
        now: Instant,
    ) -> Vec<InFlightCount> {
        self.record_relay(node, counts, now);
        self.own_sums(own, now)
    }

    /// Records the sums of another relay.
    pub fn record_relay(&self, node: &NodeId, counts: Vec<InFlightCount>, now: Instant) {
        let mut state = self.state();
        state.relays.insert(node.clone(), Report::new(counts, now));
        state.told = None;
        state.remove_old(now);
        state.update_others();
    }

    /// Records the sums over all other nodes that the relay of this node told.
    pub fn record_told(&self, counts: Vec<InFlightCount>, now: Instant) {
        let mut state = self.state();
        state.told = Some(Report::new(counts, now));
        state.remove_old(now);
        state.update_others();
    }

    /// Sums up what the followers and the other relays of this node have reported, unless a relay
    /// told the sums.
    pub fn refresh(&self, now: Instant) {
        let mut state = self.state();
        state.remove_old(now);
        state.update_others();
    }

    /// Returns the nodes that follow this one and have reported recently.
    pub fn followers(&self, now: Instant) -> Vec<NodeId> {
        let state = self.state();
        let recent = state
            .followers
            .iter()
            .filter(|(_, report)| report.is_recent(now));
        recent.map(|(node, _)| node.clone()).collect()
    }

    /// Returns the sums of this node's counts and those of its followers.
    pub fn own_sums(&self, own: &[InFlightCount], now: Instant) -> Vec<InFlightCount> {
        let mut state = self.state();
        state.remove_old(now);
        let followers = state.followers.values();
        let followers = followers.map(|report| report.counts.as_slice());
        sum(followers.chain([own]))
    }

    /// Returns the number of requests of other nodes in flight at an instance; `None` if no report
    /// is recent.
    pub fn others_in_flight(&self, instance: &InstanceId, now: Instant) -> Option<u32> {
        self.others_count(&LoadKey::Instance(instance.clone()), now)
    }

    /// Returns how many requests of other nodes a key counts; `None` if no report is recent.
    pub fn others_count(&self, key: &LoadKey, now: Instant) -> Option<u32> {
        let state = self.state();
        let is_known = state.has_recent_report(now);
        is_known.then(|| state.others.get(key).copied().unwrap_or(0))
    }

    /// Returns the requests of other nodes in flight at the groups of a model, by team.
    pub fn others_by_team(&self, service: &ServiceId, model: &ModelId) -> HashMap<TeamId, u32> {
        let state = self.state();
        let teams = state.others.iter().filter_map(|(key, requests)| {
            let team = key.team_of(service, model)?;
            Some((team.clone(), *requests))
        });
        teams.collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_recent_report(&self, now: Instant) -> bool {
        let is_recent = |report: &Report| report.is_recent(now);
        self.told.as_ref().is_some_and(is_recent)
            || self.relays.values().any(is_recent)
            || self.followers.values().any(is_recent)
    }

    fn remove_old(&mut self, now: Instant) {
        self.followers.retain(|_, report| report.is_recent(now));
        self.relays.retain(|_, report| report.is_recent(now));
        self.told = self.told.take().filter(|report| report.is_recent(now));
    }

    /// Sums the counts of the other nodes: what the relay told, or else what this node, as a relay
    /// itself, was told by its followers and the other relays.
    fn update_others(&mut self) {
        let counts = match &self.told {
            Some(told) => told.counts.clone(),
            None => {
                let reports = self.followers.values().chain(self.relays.values());
                sum(reports.map(|report| report.counts.as_slice()))
            }
        };
        let counts = counts.into_iter();
        let counts = counts.map(|it| (LoadKey::parse(&it.instance), it.requests));
        self.others = counts.collect();
    }
}

/// Adds up counts by instance. The counts of other nodes are not checked, so sums saturate.
fn sum<'a>(reports: impl Iterator<Item = &'a [InFlightCount]>) -> Vec<InFlightCount> {
    let mut sums: BTreeMap<&InstanceId, u32> = BTreeMap::new();
    for count in reports.flatten() {
        let sum = sums.entry(&count.instance).or_default();
        *sum = sum.saturating_add(count.requests);
    }
    let sums = sums.into_iter();
    sums.map(|(instance, requests)| InFlightCount {
        instance: instance.clone(),
        requests,
    })
    .collect()
}
