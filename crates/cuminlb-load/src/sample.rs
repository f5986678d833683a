//! The measurements of a single load request.

use std::time::Duration;

use crate::Outcome;

/// The outcome and the latencies of one request, as measured by its caller.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The index of the team.
    pub team: usize,
    /// How the request ended.
    pub outcome: Outcome,
    /// The time from the scheduled send time to the first token.
    pub time_to_first_token: Option<Duration>,
    /// The times between consecutive tokens.
    pub inter_token_gaps: Vec<Duration>,
    /// The time from the scheduled send time to the end of the request.
    pub total_latency: Duration,
    /// The number of attempts, including retries.
    pub attempts: u32,
}
