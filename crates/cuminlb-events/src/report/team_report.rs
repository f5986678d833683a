//! [`TeamReport`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The requests of one team that a node has and has had since its start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TeamReport {
    /// The team.
    pub team: TeamId,
    /// The requests that have not ended.
    pub in_flight: u64,
    /// The requests that were answered.
    pub answered: u64,
    /// The requests that were refused and have not run.
    pub not_run: u64,
    /// The requests whose result is not known.
    pub unknown: u64,
}
