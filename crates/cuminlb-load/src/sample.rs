//! [`Sample`].

use std::time::Duration;

use crate::Outcome;

/// What one request's caller measured.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The index of the team.
    pub team: usize,
    /// What became of the request.
    pub outcome: Outcome,
    /// The time from the scheduled moment to the first token.
    pub first_token: Option<Duration>,
    /// The times between tokens.
    pub gaps: Vec<Duration>,
    /// The time from the scheduled moment to the end.
    pub total: Duration,
    /// The tries that the caller made.
    pub tries: u32,
}
