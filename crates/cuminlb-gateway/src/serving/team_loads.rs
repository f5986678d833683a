//! The requests of each team in flight.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_routing::{InFlightCount, LoadKey};
use cuminlb_types::prelude::*;

/// The requests of this node in flight, by team and model.
#[derive(Debug, Default)]
pub(super) struct TeamLoads(Mutex<HashMap<LoadKey, u32>>);

impl TeamLoads {
    /// Counts another request.
    pub(super) fn start(&self, key: LoadKey) {
        *self.counts().entry(key).or_default() += 1;
    }

    /// Stops counting a request that has ended.
    pub(super) fn end(&self, key: &LoadKey) {
        let mut counts = self.counts();
        if let Some(count) = counts.get_mut(key) {
            *count -= 1;
            if *count == 0 {
                counts.remove(key);
            }
        }
    }

    /// Returns the requests at the groups of a model, by team.
    pub(super) fn by_team(&self, service: &ServiceId, model: &ModelId) -> HashMap<TeamId, u32> {
        let counts = self.counts();
        let of_model = counts.iter().filter_map(|(key, requests)| {
            let team = key.team_of(service, model)?;
            Some((team.clone(), *requests))
        });
        of_model.collect()
    }

    /// Returns the entries of a load report.
    pub(super) fn entries(&self) -> Vec<InFlightCount> {
        let counts = self.counts();
        let entries = counts.iter().filter_map(|(key, requests)| {
            Some(InFlightCount {
                instance: key.name()?,
                requests: *requests,
            })
        });
        entries.collect()
    }

    fn counts(&self) -> MutexGuard<'_, HashMap<LoadKey, u32>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
