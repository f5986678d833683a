//! The rate limits of the teams at one node.

use std::collections::HashMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{RetryJitter, TokenBucket};

/// Limits each team to its rate.
#[derive(Debug, Default)]
pub struct TeamRates {
    teams: HashMap<TeamId, (TokenBucket, RetryJitter)>,
}

impl TeamRates {
    /// Admits a request of a team.
    ///
    /// # Errors
    ///
    /// Returns the delay after which to retry when the team has exhausted `rate`.
    pub fn admit(
        &mut self,
        team: &TeamId,
        rate: RequestsPerSecond,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Result<(), Millis> {
        let entry = self.teams.entry(team.clone());
        let (bucket, jitter) =
            entry.or_insert_with(|| (TokenBucket::new(rate, now), RetryJitter::new(now)));
        if bucket.try_take(rate, now) {
            Ok(())
        } else {
            Err(jitter.next_retry_after(0, rate, now, rng))
        }
    }
}
