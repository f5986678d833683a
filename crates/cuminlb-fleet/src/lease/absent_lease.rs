//! The absence of a lease row, from the point of view of a node that may write it.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// The absence of a lease row in an era of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AbsentLease {
    /// The era.
    pub era: StoreEra,
    /// When the row was first missing in this era, on the clock of the observing node.
    pub first_seen_at: Instant,
}

impl AbsentLease {
    /// Records that the row is missing; an era in which it was missing before keeps its first time.
    pub fn observe(previous: Option<Self>, era: StoreEra, now: Instant) -> Self {
        match previous {
            Some(absent) if absent.era == era => absent,
            _ => Self {
                era,
                first_seen_at: now,
            },
        }
    }
}
