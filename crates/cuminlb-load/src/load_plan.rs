//! [`LoadPlan`] and [`LoadTarget`].

use cuminlb_types::prelude::*;

use crate::{ArrivalSchedule, TeamLoad};

/// What is sent, where and when.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where requests go, in turn.
    pub targets: Vec<LoadTarget>,
    /// When requests are sent.
    pub schedule: ArrivalSchedule,
    /// The teams that send.
    pub teams: Vec<TeamLoad>,
    /// The model that is asked for.
    pub model: String,
    /// The tokens of each answer.
    pub tokens: TokenCount,
    /// The time from the scheduled moment after which a caller leaves.
    pub timeout_ms: Millis,
    /// The number of times that a caller comes back after the `Retry-After` of a refusal.
    pub returns: u32,
    /// Draws the teams.
    pub seed: u64,
}

/// One address that requests go to, and headers that it needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadTarget {
    /// The whole URL.
    pub url: String,
    /// Headers beyond those of every request.
    pub headers: Vec<(String, String)>,
}
