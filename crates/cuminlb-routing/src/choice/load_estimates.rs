//! [`LoadEstimates`].

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::SlotLoad;

/// The age at which the load of a group is no longer known.
const MAX_AGE: Duration = Duration::from_secs(3);

/// The load of each group as its owner last told, corrected by this node's own requests since.
#[derive(Debug, Default)]
pub struct LoadEstimates {
    groups: Mutex<HashMap<GroupId, Estimate>>,
}

#[derive(Clone, Copy, Debug)]
struct Estimate {
    told: SlotLoad,
    told_at: Instant,
    ended_since: u32,
}

impl LoadEstimates {
    /// Takes in what an owner told with a grant, which it counts already, or with a denial.
    pub fn note_told(&self, group: &GroupId, told: SlotLoad, now: Instant) {
        let estimate = Estimate {
            told,
            told_at: now,
            ended_since: 0,
        };
        self.lock().insert(group.clone(), estimate);
    }

    /// Notes that a request of this node has ended.
    pub fn note_ended(&self, group: &GroupId) {
        if let Some(estimate) = self.lock().get_mut(group) {
            estimate.ended_since += 1;
        }
    }

    /// Returns the estimated part of the slots that is taken; `None` where no news are fresh.
    pub fn load(&self, group: &GroupId, now: Instant) -> Option<Ratio> {
        let estimate = *self.lock().get(group)?;
        let is_fresh = now.duration_since(estimate.told_at) <= MAX_AGE;
        let taken = estimate
            .told
            .taken
            .get()
            .saturating_sub(estimate.ended_since);
        let limit = estimate.told.limit.get().max(1);
        is_fresh.then(|| Ratio(f64::from(taken) / f64::from(limit)))
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, Estimate>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
