//! The row `lease/NAME`.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A lease as it is stored in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node that holds the lease.
    pub holder: NodeId,
    /// The incarnation of the holder; a later incarnation of the node can't continue the lease.
    pub incarnation: Incarnation,
    /// The fencing number, which increases with each acquisition and not with renewals.
    pub fencing: FencingNumber,
    /// The length of the lease, for which another node waits in full before it takes over; 0 once
    /// the lease is released.
    pub length_ms: Millis,
    /// Whether the holder released the lease while nothing that it had permitted was in flight.
    #[serde(default)]
    pub idle: bool,
    /// The era of the store in which the holder wrote the row. A row of an earlier era than the
    /// store's comes from the copy that the store was restored from.
    #[serde(default)]
    pub era: StoreEra,
}
