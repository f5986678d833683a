//! Groups that requests avoid after a recent failure.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// How long a group is avoided; its owner detects a missing member sooner.
const AVOIDANCE_PERIOD: Duration = Duration::from_secs(2);

/// The groups that this node has recently found unreachable or crashed.
#[derive(Debug, Default)]
pub(super) struct FailedGroups {
    failed_at: Mutex<HashMap<(GroupId, Epoch), Instant>>,
}

impl FailedGroups {
    /// Records that a group failed at an epoch.
    pub(super) fn record(&self, group: &GroupId, epoch: Epoch) {
        let mut failed_at = self.lock();
        failed_at.retain(|_, at| at.elapsed() < AVOIDANCE_PERIOD);
        failed_at.insert((group.clone(), epoch), Instant::now());
    }

    /// Returns the groups to avoid.
    pub(super) fn recent(&self) -> Vec<GroupId> {
        let failed_at = self.lock();
        let recent = failed_at
            .iter()
            .filter(|(_, at)| at.elapsed() < AVOIDANCE_PERIOD);
        recent.map(|((group, _), _)| group.clone()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<(GroupId, Epoch), Instant>> {
        self.failed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
