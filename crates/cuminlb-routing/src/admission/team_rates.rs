//! [`TeamRates`].

use std::collections::HashMap;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{RetrySpread, TokenBucket};

/// Bounds each team to its rate.
#[derive(Debug, Default)]
pub struct TeamRates {
    teams: HashMap<TeamId, (TokenBucket, RetrySpread)>,
}

impl TeamRates {
    /// Lets a request of a team in.
    ///
    /// # Errors
    ///
    /// Returns when to come back, where the team has used up `rate`.
    pub fn take(
        &mut self,
        team: &TeamId,
        rate: RequestsPerSecond,
        now: Instant,
        rng: &mut impl rand::Rng,
    ) -> Result<(), Millis> {
        let entry = self.teams.entry(team.clone());
        let (bucket, spread) =
            entry.or_insert_with(|| (TokenBucket::new(rate, now), RetrySpread::new(now)));
        if bucket.take(rate, now) {
            Ok(())
        } else {
            Err(spread.defer(0, rate, now, rng))
        }
    }
}
