//! The timestamps of the hybrid logical clock.

use std::fmt;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A timestamp of the hybrid logical clock: a wall-clock time and a counter that breaks ties.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct HybridTime {
    /// The latest wall-clock time that the clock has observed.
    pub wall_ms: UnixMillis,
    /// Orders the events within the same millisecond.
    pub counter: u32,
}

impl HybridTime {
    /// Returns the next later timestamp; a counter overflow carries into the next millisecond.
    #[must_use]
    pub const fn next(self) -> Self {
        match self.counter.checked_add(1) {
            Some(counter) => Self { counter, ..self },
            None => Self {
                wall_ms: UnixMillis(self.wall_ms.get().saturating_add(1)),
                counter: 0,
            },
        }
    }
}

impl fmt::Display for HybridTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.wall_ms, self.counter)
    }
}
