//! This node's estimates of the load of groups.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::SlotLoad;

/// The age after which a reported load is no longer used.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The load of each group as last reported by its owner, less this node's requests that have ended
/// since.
#[derive(Debug, Default)]
pub struct LoadEstimates {
    groups: Mutex<HashMap<GroupId, Estimate>>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    reported: SlotLoad,
    received_at: Instant,
    finished_since: u32,
}

impl LoadEstimates {
    /// Records the load that an owner reported with a grant or a denial. The load that comes with a
    /// grant includes the granted slot.
    pub fn record_load(&self, group: &GroupId, reported: SlotLoad, now: Instant) {
        let estimate = Estimate {
            reported,
            received_at: now,
            finished_since: 0,
        };
        self.lock().insert(group.clone(), estimate);
    }

    /// Records that a request of this node has ended.
    pub fn record_request_end(&self, group: &GroupId) {
        if let Some(estimate) = self.lock().get_mut(group) {
            estimate.finished_since += 1;
        }
    }

    /// Returns the estimated fraction of the slots that are taken; `None` if no report is recent.
    pub fn load(&self, group: &GroupId, now: Instant) -> Option<Ratio> {
        let estimate = *self.lock().get(group)?;
        let is_fresh = now.duration_since(estimate.received_at) <= MAX_AGE;
        let taken = estimate
            .reported
            .taken
            .get()
            .saturating_sub(estimate.finished_since);
        let limit = estimate.reported.limit.get().max(1);
        is_fresh.then(|| Ratio(f64::from(taken) / f64::from(limit)))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, Estimate>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
