//! [`HybridClock`].

use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

use crate::HybridTime;

/// The furthest that the time of a peer may pull this clock forward.
const MAX_LEAD_MS: u64 = 60_000;

/// A hybrid logical clock: it never goes back and is ahead of all that it has heard of.
#[derive(Debug, Default)]
pub struct HybridClock {
    last: Mutex<HybridTime>,
}

impl HybridClock {
    /// Returns the time of an event that happens now.
    pub fn tick(&self) -> HybridTime {
        self.tick_at(UnixMillis::now())
    }

    /// Returns the time of an event that happens when the wall clock shows `wall_ms`.
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

    /// Moves this clock past a time that a peer has sent.
    ///
    /// A time more than a minute ahead of the wall clock is ignored, so that one wrong clock
    /// can't drag all the others with it.
    pub fn observe(&self, heard: HybridTime) {
        self.observe_at(UnixMillis::now(), heard);
    }

    /// As [`Self::observe`], when the wall clock shows `wall_ms`.
    pub fn observe_at(&self, wall_ms: UnixMillis, heard: HybridTime) {
        if heard.wall_ms.get() > wall_ms.get().saturating_add(MAX_LEAD_MS) {
            return;
        }
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        *last = (*last).max(heard);
    }
}
