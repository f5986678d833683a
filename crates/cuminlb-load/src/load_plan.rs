//! The configuration of one load run: targets, arrival schedule, teams and retry limits.

use cuminlb_types::prelude::*;

use crate::{ArrivalSchedule, TeamLoad};

/// The requests of one load run, with their targets and send times.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The targets, used in round-robin order.
    pub targets: Vec<LoadTarget>,
    /// The send times.
    pub schedule: ArrivalSchedule,
    /// The teams whose API keys the requests carry.
    pub teams: Vec<TeamLoad>,
    /// The model that is requested.
    pub model: String,
    /// The number of tokens in each response.
    pub tokens: TokenCount,
    /// The time, from the scheduled send time, after which a caller abandons its request.
    pub timeout_ms: Millis,
    /// The maximum number of retries of a refused request; each waits for its `Retry-After`.
    pub max_retries: u32,
    /// The seed of the random choice of teams.
    pub seed: u64,
}

/// A URL that requests are sent to, and the extra headers that it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTarget {
    /// The absolute URL.
    pub url: String,
    /// Headers to add to those of every request.
    pub headers: Vec<(String, String)>,
}
