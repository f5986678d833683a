//! The section of a node's report on one team.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The requests of one team at a node: those in flight, and those that ended since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub team: TeamId,
    /// The number of requests that have not ended.
    pub in_flight: u64,
    /// The number of requests that were answered.
    pub answered: u64,
    /// The number of requests that were refused and not run.
    pub not_run: u64,
    /// The number of requests whose result is unknown.
    pub unknown: u64,
}
