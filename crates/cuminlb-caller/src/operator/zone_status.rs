//! [`ZoneStatus`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One availability zone of the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ZoneStatus {
    /// The availability zone.
    pub id: ZoneId,
    /// Whether the zone takes new work.
    pub takes_work: bool,
}
