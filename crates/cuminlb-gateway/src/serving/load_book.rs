//! [`LoadBook`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::in_flight::InFlight;
use super::instance_load::InstanceLoad;

/// What this node sees of the instances by its own requests.
#[derive(Debug, Default)]
pub(crate) struct LoadBook {
    loads: Mutex<HashMap<InstanceId, Arc<InstanceLoad>>>,
}

impl LoadBook {
    /// Returns what is seen of an instance.
    pub(super) fn load(&self, id: &InstanceId) -> Arc<InstanceLoad> {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(load) = loads.get(id) {
            return Arc::clone(load);
        }
        let load = Arc::new(InstanceLoad::new(Instant::now()));
        loads.insert(id.clone(), Arc::clone(&load));
        load
    }

    /// Notes that a request goes to an instance.
    pub(super) fn begin(&self, id: &InstanceId) -> InFlight {
        InFlight::new(self.load(id))
    }

    /// Forgets instances that are gone and have nothing under way.
    pub(crate) fn forget_except(&self, is_known: impl Fn(&InstanceId) -> bool) {
        let mut loads = self.loads.lock().unwrap_or_else(PoisonError::into_inner);
        loads.retain(|id, load| load.in_flight() > 0 || is_known(id));
    }
}
