//! A guard that keeps a check of an instance under way.

use std::sync::Arc;

use cuminlb_types::prelude::*;

use super::running_check::RunningCheck;
use crate::gateway::Gateway;

/// Keeps a check of an instance under way until it is finished or dropped, which also happens if the
/// task of the check panics. Another check of the instance can begin after that.
pub(super) struct RunningCheckGuard {
    gateway: Arc<Gateway>,
    key: (InstanceId, Epoch),
    is_finished: bool,
}

impl RunningCheckGuard {
    pub(super) const fn new(gateway: Arc<Gateway>, key: (InstanceId, Epoch)) -> Self {
        Self {
            gateway,
            key,
            is_finished: false,
        }
    }

    /// Ends the check and returns what was added to it.
    pub(super) fn finish(mut self) -> Option<RunningCheck> {
        self.is_finished = true;
        self.remove()
    }

    fn remove(&self) -> Option<RunningCheck> {
        self.gateway.instance_checks.running().remove(&self.key)
    }
}

impl Drop for RunningCheckGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.remove();
        }
    }
}
