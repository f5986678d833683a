//! [`EngineReport`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::Membership;

/// What an instance says of itself; its load lags behind.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineReport {
    /// Tells this start of the process from earlier ones.
    pub incarnation: Incarnation,
    /// The group that the instance is in; a plain service is in none.
    pub membership: Option<Membership>,
    /// The highest fencing number that the engine has seen.
    pub fencing: FencingNumber,
    /// Whether the instance has left its cold start behind.
    pub warm: bool,
    /// The number of requests that it ran when it last looked.
    pub running: SlotCount,
}
