//! The checks of instances that are under way.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use super::running_check::RunningCheck;

/// The instances that are being checked, so that the requests which a crash breaks off at the same time
/// lead to one check.
#[derive(Debug, Default)]
pub(crate) struct InstanceChecks {
    running: Mutex<HashMap<(InstanceId, Epoch), RunningCheck>>,
}

impl InstanceChecks {
    pub(super) fn running(&self) -> MutexGuard<'_, HashMap<(InstanceId, Epoch), RunningCheck>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
