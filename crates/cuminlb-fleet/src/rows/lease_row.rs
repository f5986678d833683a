//! [`LeaseRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A lease as it stands in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LeaseRow {
    /// The node that holds the lease.
    pub holder: NodeId,
    /// Tells the holder's start from its earlier ones, which can't go on with the lease.
    pub incarnation: Incarnation,
    /// The fencing number of this holding.
    pub fencing: FencingNumber,
    /// The length, which a taker waits out in full.
    pub length_ms: Millis,
    /// Whether the holder gave the lease up when nothing that it had allowed was under way.
    #[serde(default)]
    pub idle: bool,
}
