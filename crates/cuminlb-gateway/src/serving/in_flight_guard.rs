//! A guard that counts a request as in flight at an instance.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cuminlb_routing::{LoadKey, RequestClass};
use tokio::time::Instant;

use super::instance_load::InstanceLoad;
use super::team_loads::TeamLoads;

/// Counts a request as in flight at an instance until it is dropped, and for its team, if any.
#[derive(Debug)]
pub(super) struct InFlightGuard {
    load: Arc<InstanceLoad>,
    /// Whether it yields to other requests and has not begun.
    is_yielding: AtomicBool,
    team: Option<(Arc<TeamLoads>, LoadKey)>,
}

impl InFlightGuard {
    pub(super) fn new(
        load: Arc<InstanceLoad>,
        class: RequestClass,
        team: Option<(Arc<TeamLoads>, LoadKey)>,
    ) -> Self {
        let is_yielding = class == RequestClass::Yielding;
        load.in_flight.fetch_add(1, Ordering::Relaxed);
        if is_yielding {
            load.yielding.fetch_add(1, Ordering::Relaxed);
        }
        if let Some((teams, key)) = &team {
            teams.start(key.clone());
        }
        load.record_send(Instant::now());
        Self {
            load,
            is_yielding: AtomicBool::new(is_yielding),
            team,
        }
    }

    /// Records that the instance has sent something.
    pub(super) fn record_progress(&self, now: Instant) {
        self.load.record_progress(now);
    }

    /// Records that the instance has begun to run the request, which uses a slot from then on.
    pub(super) fn record_begin(&self) {
        if self.is_yielding.swap(false, Ordering::Relaxed) {
            self.load.yielding.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Returns the observations of the instance.
    pub(super) fn load(&self) -> &InstanceLoad {
        &self.load
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.record_begin();
        self.load.in_flight.fetch_sub(1, Ordering::Relaxed);
        if let Some((teams, key)) = &self.team {
            teams.end(key);
        }
    }
}
