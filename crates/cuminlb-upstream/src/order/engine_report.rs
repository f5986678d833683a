//! The report that an instance returns to a probe and to an order.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::Membership;

/// The state that an instance reports. The reported load lags behind the actual load.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineReport {
    /// Distinguishes this start of the process from earlier ones.
    pub incarnation: Incarnation,
    /// The group that the instance belongs to; always `None` for a plain service.
    pub membership: Option<Membership>,
    /// The highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// Whether the cold start of the instance is over.
    pub warm: bool,
    /// The number of requests that were running when the instance last counted them.
    pub running: SlotCount,
}
