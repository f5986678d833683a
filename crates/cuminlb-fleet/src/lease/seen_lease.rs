//! [`SeenLease`].

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::rows::LeaseRow;

/// A lease of another holder, as a node that may take it has seen it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SeenLease {
    /// The row.
    pub row: LeaseRow,
    /// The version of the row.
    pub version: RowVersion,
    /// When this version was first seen, on the clock of the node that looks.
    pub first_seen_at: Instant,
}

impl SeenLease {
    /// Notes a look at the row; a version seen before keeps its first time.
    pub fn note(earlier: Option<Self>, version: RowVersion, row: LeaseRow, now: Instant) -> Self {
        match earlier {
            Some(seen) if seen.version == version => seen,
            _ => Self {
                row,
                version,
                first_seen_at: now,
            },
        }
    }

    /// Returns the time at which the lease has certainly run out.
    pub fn lapses_at(&self) -> Instant {
        self.first_seen_at + self.row.length_ms.duration()
    }

    /// Tells whether the holder has given the lease up.
    pub fn is_released(&self) -> bool {
        self.row.length_ms == Millis(0)
    }

    /// Tells whether the lease has certainly run out.
    pub fn has_lapsed(&self, now: Instant) -> bool {
        now >= self.lapses_at()
    }
}
