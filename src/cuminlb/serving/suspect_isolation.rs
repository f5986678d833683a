//! Runs the suspects of this node at different groups, to find the one that causes crashes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::sync::{Mutex as AsyncMutex, Notify, OwnedMutexGuard};
use tokio::time::Instant;

/// The longest time that a suspect waits for a group that runs no other suspect.
const MAX_ISOLATION_WAIT: Duration = Duration::from_secs(10);

/// Isolates the suspects of this node from each other, so that a crash identifies its cause.
///
/// Every request of a batch that crashed is a suspect. If they were retried at the same group,
/// the one that crashes it would make all the others fail a second time.
#[derive(Debug, Default)]
pub(super) struct SuspectIsolation {
    /// The number of suspects that run at each group.
    running: Mutex<HashMap<GroupId, u32>>,
    /// Notified when a suspect has ended.
    ended: Notify,
    /// Held by the suspect that chooses a group.
    choice_lock: Arc<AsyncMutex<()>>,
}

/// Marks a group as running a suspect, until this is dropped.
#[derive(Debug)]
pub(super) struct IsolationGuard {
    isolation: Arc<SuspectIsolation>,
    group: GroupId,
}

impl SuspectIsolation {
    /// Waits until one of the groups runs no suspect, and returns the groups that run one.
    ///
    /// The returned guard lets one suspect choose a group at a time. After
    /// [`MAX_ISOLATION_WAIT`], a suspect continues without a group of its own.
    pub(super) async fn wait_for_free_group(
        &self,
        groups: &[GroupId],
    ) -> (Vec<GroupId>, Option<OwnedMutexGuard<()>>) {
        let deadline = Instant::now() + MAX_ISOLATION_WAIT;
        let choice_guard = Arc::clone(&self.choice_lock).lock_owned();
        let choice_guard = tokio::time::timeout_at(deadline, choice_guard).await.ok();
        loop {
            let ended = self.ended.notified();
            let occupied = self.occupied_groups();
            let has_free_group = groups.iter().any(|group| !occupied.contains(group));
            if has_free_group || tokio::time::timeout_at(deadline, ended).await.is_err() {
                return (occupied, choice_guard);
            }
        }
    }

    /// Registers a suspect at a group.
    pub(super) fn isolate(self: &Arc<Self>, group: &GroupId) -> IsolationGuard {
        *self.lock().entry(group.clone()).or_default() += 1;
        IsolationGuard {
            isolation: Arc::clone(self),
            group: group.clone(),
        }
    }

    fn occupied_groups(&self) -> Vec<GroupId> {
        self.lock().keys().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<GroupId, u32>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for IsolationGuard {
    fn drop(&mut self) {
        let mut running = self.isolation.lock();
        if let Some(count) = running.get_mut(&self.group) {
            *count -= 1;
            if *count == 0 {
                running.remove(&self.group);
            }
        }
        drop(running);
        self.isolation.ended.notify_waiters();
    }
}
