//! A conditional write of a lease row.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use crate::rows::LeaseRow;

/// A conditional write of a lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// The version that the row must have; row version zero if it must not exist.
    pub expected: StoreVersion,
    /// The new content of the row.
    pub row: LeaseRow,
    /// A time before the write is sent, from which a lease that it gives is counted.
    pub sent_at: Instant,
}
