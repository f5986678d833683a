//! A simulated instance, which fails, restarts and loads weights.

use cuminlb_types::prelude::*;

/// The accelerators of one instance.
pub(crate) const ACCELERATORS_PER_INSTANCE: u32 = 8;

/// One instance.
#[derive(Clone, Debug)]
pub(crate) struct Instance {
    /// The availability zone.
    pub(crate) zone: ZoneId,
    /// The fabric domain.
    pub(crate) domain: FabricDomainId,
    /// Whether the instance is running.
    pub(crate) is_up: bool,
    /// The incarnation of the process, which advances with each start.
    pub(crate) incarnation: Incarnation,
    /// The fraction of the weights that the instance has loaded; values from 1 mean all of them.
    pub(crate) loaded_fraction: f64,
}

impl Instance {
    /// Returns whether all weights are loaded.
    pub(crate) fn is_warm(&self) -> bool {
        self.loaded_fraction >= 1.0
    }

    /// Stops or starts the instance. A stop discards its weights, a start begins a new incarnation.
    pub(crate) fn set_running(&mut self, is_up: bool) {
        if is_up && !self.is_up {
            self.incarnation = self.incarnation.next();
        }
        if is_up != self.is_up {
            self.loaded_fraction = 0.0;
        }
        self.is_up = is_up;
    }
}
