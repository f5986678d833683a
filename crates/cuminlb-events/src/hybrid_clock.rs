//! The hybrid logical clock of a node.

use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

use crate::HybridTime;

/// The maximum time by which the timestamp of a peer may be ahead of the wall clock, in
/// milliseconds (1 minute).
const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A hybrid logical clock. It never goes backwards, and each new timestamp is later than all that
/// the clock has accepted from peers.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<HybridTime>,
}

impl HybridClock {
    /// Returns the timestamp of an event that occurs now.
    pub fn tick(&self) -> HybridTime {
        self.tick_at(UnixMillis::now())
    }

    /// Returns the timestamp of an event that occurs at the wall-clock time `wall_ms`.
    pub fn tick_at(&self, wall_ms: UnixMillis) -> HybridTime {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = if wall_ms > last.wall_ms {
            HybridTime {
                wall_ms,
                counter: 0,
            }
        } else {
            last.next()
        };
        *last
    }

    /// Advances this clock to a timestamp that a peer sent, so that the next tick is later.
    ///
    /// A timestamp more than a minute ahead of the wall clock is ignored, so that one wrong clock
    /// can't advance the clocks of all other nodes.
    pub fn observe(&self, received: HybridTime) {
        self.observe_at(UnixMillis::now(), received);
    }

    /// Same as [`Self::observe`], at the wall-clock time `wall_ms`.
    pub fn observe_at(&self, wall_ms: UnixMillis, received: HybridTime) {
        if received.wall_ms.get() > wall_ms.get().saturating_add(MAX_CLOCK_SKEW_MS) {
            return;
        }
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = (*last).max(received);
    }
}
