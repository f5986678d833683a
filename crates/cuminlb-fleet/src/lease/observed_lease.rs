//! A lease from the point of view of a node that may take it over.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::rows::LeaseRow;

/// A lease of another holder, as observed by a node that may take it over. `V` is the version of its
/// row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedLease<V = RowVersion> {
    /// The row.
    pub row: LeaseRow,
    /// The version of the row.
    pub version: V,
    /// When this version was first seen, on the clock of the observing node.
    pub first_seen_at: Instant,
}

impl<V: PartialEq> ObservedLease<V> {
    /// Records a read of the row; a version that was seen before keeps its first time.
    pub fn observe(previous: Option<Self>, version: V, row: LeaseRow, now: Instant) -> Self {
        match previous {
            Some(seen) if seen.version == version => seen,
            _ => Self {
                row,
                version,
                first_seen_at: now,
            },
        }
    }

    /// Returns the time at which the lease has certainly expired.
    pub fn expires_at(&self) -> Instant {
        self.first_seen_at + self.row.length_ms.duration()
    }

    /// Returns whether the holder has released the lease.
    pub fn is_released(&self) -> bool {
        self.row.length_ms == Millis(0)
    }

    /// Returns whether the lease has certainly expired.
    pub fn has_expired(&self, now: Instant) -> bool {
        now >= self.expires_at()
    }
}
