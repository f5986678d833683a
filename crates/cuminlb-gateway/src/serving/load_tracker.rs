//! The load and health of all instances, as observed by this node.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cuminlb_routing::{InFlightCount, LoadKey};
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::in_flight_guard::InFlightGuard;
use super::instance_load::InstanceLoad;
use super::target::Target;
use super::team_loads::TeamLoads;
use crate::body_budgets::BodyBudgets;

/// What this node has observed of each instance through its own requests.
#[derive(Debug)]
pub(crate) struct LoadTracker {
    body_budgets: BodyBudgets,
    loads: Mutex<HashMap<InstanceId, Arc<InstanceLoad>>>,
    teams: Arc<TeamLoads>,
}

impl LoadTracker {
    /// Creates a tracker; the instances have their parts of the budget for responses.
    pub(crate) fn new(body_budgets: BodyBudgets) -> Self {
        Self {
            body_budgets,
            loads: Mutex::default(),
            teams: Arc::default(),
        }
    }

    /// Returns the observations of an instance.
    pub(super) fn load(&self, id: &InstanceId) -> Arc<InstanceLoad> {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(load) = loads.get(id) {
            return Arc::clone(load);
        }
        let response_budget = self.body_budgets.responses_of_instance();
        let load = Arc::new(InstanceLoad::new(response_budget, Instant::now()));
        loads.insert(id.clone(), Arc::clone(&load));
        load
    }

    /// Returns the requests of this node in flight, as they are reported to other nodes: by instance, those
    /// that yield by instance, and by team.
    pub(crate) fn in_flight_counts(&self) -> Vec<InFlightCount> {
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        let by_instance = loads.iter().map(|(id, load)| InFlightCount {
            instance: id.clone(),
            requests: load.in_flight(),
        });
        let yielding = loads.iter().filter(|(_, load)| load.yielding() > 0);
        let yielding = yielding.filter_map(|(id, load)| {
            Some(InFlightCount {
                instance: LoadKey::Yielding(id.clone()).name()?,
                requests: load.yielding(),
            })
        });
        let counts = by_instance.filter(|count| count.requests > 0);
        counts.chain(yielding).chain(self.teams.entries()).collect()
    }

    /// Returns the requests of this node in flight at the groups of a model, by team.
    pub(super) fn by_team(&self, service: &ServiceId, model: &ModelId) -> HashMap<TeamId, u32> {
        self.teams.by_team(service, model)
    }

    /// Returns the number of instances that state a rate limit.
    pub(crate) fn limited_count(&self) -> usize {
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        loads.values().filter(|load| load.is_limited()).count()
    }

    /// Counts a request to a target as in flight until the guard is dropped, also for its team if `team`
    /// is given.
    pub(super) fn start_request(&self, target: &Target, team: Option<LoadKey>) -> InFlightGuard {
        let load = self.load(&target.instance);
        let team = team.map(|key| (Arc::clone(&self.teams), key));
        InFlightGuard::new(load, target.class, team)
    }

    /// Clears the failures of an instance, which were those of the link to it.
    pub(crate) fn clear_failures(&self, id: &InstanceId) {
        self.load(id).clear_failures();
    }

    /// Clears the failures of all instances.
    pub(crate) fn clear_all_failures(&self) {
        let loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        for load in loads.values() {
            load.clear_failures();
        }
    }

    /// Removes the instances that are no longer known and have no request in flight.
    pub(crate) fn retain(&self, is_known: impl Fn(&InstanceId) -> bool) {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        loads.retain(|id, load| load.in_flight() > 0 || is_known(id));
    }
}
