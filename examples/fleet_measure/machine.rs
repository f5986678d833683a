//! [`Machine`].

use cuminlb_types::prelude::*;

/// The accelerators of one instance.
pub(crate) const ACCELERATORS: u32 = 8;

/// One instance.
#[derive(Clone, Debug)]
pub(crate) struct Machine {
    /// The availability zone.
    pub(crate) zone: ZoneId,
    /// The fabric domain.
    pub(crate) domain: FabricDomainId,
    /// Whether it runs.
    pub(crate) up: bool,
    /// The start of its process.
    pub(crate) incarnation: Incarnation,
    /// The part of the weights that it has loaded, 0 to 1.
    pub(crate) loaded: f64,
}

impl Machine {
    /// Tells whether all weights are loaded.
    pub(crate) fn is_warm(&self) -> bool {
        self.loaded >= 1.0
    }

    /// Stops the instance, which loses its weights, or starts it anew.
    pub(crate) fn set_up(&mut self, up: bool) {
        if up && !self.up {
            self.incarnation = self.incarnation.next();
        }
        if !up {
            self.loaded = 0.0;
        }
        self.up = up;
    }
}
