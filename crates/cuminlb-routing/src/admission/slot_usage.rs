//! How much of the slots of a model's groups is used.

use cuminlb_types::prelude::*;

/// The requests of all nodes at the groups of a model, and the slots of these groups.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotUsage {
    /// The requests in flight, as far as they are known.
    pub in_flight: f64,
    /// Those of them that yield and have not begun.
    pub yielding: f64,
    /// The requests that the groups can run at the same time.
    pub slots: f64,
}

impl SlotUsage {
    /// Adds the usage of another group.
    pub fn add(&mut self, other: Self) {
        self.in_flight += other.in_flight;
        self.yielding += other.yielding;
        self.slots += other.slots;
    }

    /// Returns the fraction of the slots that are used or waited for by requests that don't yield. It
    /// exceeds one when such requests wait.
    pub fn used(&self) -> Ratio {
        let competing = (self.in_flight - self.yielding).max(0.0);
        Ratio(competing / self.slots.max(1.0))
    }

    /// Returns the number of requests that yield and have not begun, per slot.
    pub fn backlog(&self) -> Ratio {
        Ratio(self.yielding / self.slots.max(1.0))
    }
}
