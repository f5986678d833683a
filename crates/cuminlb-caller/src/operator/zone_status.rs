//! The state of an availability zone as returned to operators.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One availability zone of the current configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The id of the availability zone.
    pub id: ZoneId,
    /// Whether the zone accepts new work.
    pub takes_work: bool,
}
