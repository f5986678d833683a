//! [`SuspectLanes`] and [`SuspectLane`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::sync::{Mutex as AsyncMutex, Notify, OwnedMutexGuard};
use tokio::time::Instant;

/// The longest time that a suspect waits for a group without another one.
const MAX_LANE_WAIT: Duration = Duration::from_secs(10);

/// Keeps the suspects of this node apart, so that a crash tells which of them it was.
///
/// Every request of a batch that crashed is a suspect. Were they tried again at the same group,
/// the one that crashes it would take the others along a second time.
#[derive(Debug, Default)]
pub(super) struct SuspectLanes {
    running: Mutex<HashMap<GroupId, u32>>,
    ended: Notify,
    choosing: Arc<AsyncMutex<()>>,
}

/// A suspect that runs at a group, until this is dropped.
#[derive(Debug)]
pub(super) struct SuspectLane {
    lanes: Arc<SuspectLanes>,
    group: GroupId,
}

impl SuspectLanes {
    /// Waits until one of the groups has no suspect, and returns the groups that have one.
    ///
    /// One suspect chooses at a time, until the guard is dropped. After [`MAX_LANE_WAIT`] a
    /// suspect goes on without a group of its own.
    pub(super) async fn wait_for_free(
        &self,
        groups: &[GroupId],
    ) -> (Vec<GroupId>, Option<OwnedMutexGuard<()>>) {
        let deadline = Instant::now() + MAX_LANE_WAIT;
        let choosing = Arc::clone(&self.choosing).lock_owned();
        let choosing = tokio::time::timeout_at(deadline, choosing).await.ok();
        loop {
            let ended = self.ended.notified();
            let busy = self.busy();
            let has_free = groups.iter().any(|group| !busy.contains(group));
            if has_free || tokio::time::timeout_at(deadline, ended).await.is_err() {
                return (busy, choosing);
            }
        }
    }

    /// Notes that a suspect runs at a group.
    pub(super) fn enter(self: &Arc<Self>, group: &GroupId) -> SuspectLane {
        *self.lock().entry(group.clone()).or_default() += 1;
        SuspectLane {
            lanes: Arc::clone(self),
            group: group.clone(),
        }
    }

    fn busy(&self) -> Vec<GroupId> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for SuspectLane {
    fn drop(&mut self) {
        let mut running = self.lanes.lock();
        if let Some(count) = running.get_mut(&self.group) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.group);
            }
        }
        drop(running);
        self.lanes.ended.notify_waiters();
    }
}
