//! [`LoadReport`] and [`Quantiles`].

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cuminlb_types::prelude::*;
use hdrhistogram::Histogram;

use crate::{Outcome, Sample, TeamLoad};

/// The highest latency that a histogram tells apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// What a run of load measured.
#[derive(Clone, Debug)]
pub struct LoadReport {
    teams: Vec<String>,
    offered: u64,
    tries: u64,
    outcomes: BTreeMap<Outcome, u64>,
    sent_by_team: Vec<u64>,
    answered_by_team: Vec<u64>,
    first_token_us: Histogram<u64>,
    gap_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    length: Duration,
}

/// Three quantiles of a latency, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantiles {
    /// The median.
    pub p50_ms: f64,
    /// 95 in 100 are lower.
    pub p95_ms: f64,
    /// 99 in 100 are lower.
    pub p99_ms: f64,
}

impl LoadReport {
    pub(crate) fn new(teams: &[TeamLoad]) -> Self {
        Self {
            teams: teams.iter().map(|team| team.name.clone()).collect(),
            offered: 0,
            tries: 0,
            outcomes: BTreeMap::new(),
            sent_by_team: vec![0; teams.len()],
            answered_by_team: vec![0; teams.len()],
            first_token_us: histogram(),
            gap_us: histogram(),
            refusal_us: histogram(),
            length: Duration::ZERO,
        }
    }

    pub(crate) fn add(&mut self, sample: &Sample) {
        self.offered += 1;
        self.tries += u64::from(sample.tries);
        *self.outcomes.entry(sample.outcome.clone()).or_default() += 1;
        let answered = sample.outcome == Outcome::Answered;
        if let Some(sent) = self.sent_by_team.get_mut(sample.team) {
            *sent += 1;
        }
        if let Some(count) = self.answered_by_team.get_mut(sample.team) {
            *count += u64::from(answered);
        }
        if let Some(first_token) = sample.first_token.filter(|_| answered) {
            record(&mut self.first_token_us, first_token);
            sample
                .gaps
                .iter()
                .for_each(|gap| record(&mut self.gap_us, *gap));
        }
        if matches!(sample.outcome, Outcome::Refused { .. }) {
            record(&mut self.refusal_us, sample.total);
        }
    }

    pub(crate) const fn set_length(&mut self, length: Duration) {
        self.length = length;
    }

    /// Returns the number of requests that were offered.
    pub const fn offered(&self) -> u64 {
        self.offered
    }

    /// Returns the number of requests with an outcome.
    pub fn count(&self, outcome: &Outcome) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or_default()
    }

    /// Returns the whole answers a second, over the whole run.
    pub fn goodput(&self) -> RequestsPerSecond {
        let answered = self.count(&Outcome::Answered);
        RequestsPerSecond(answered as f64 / self.length.as_secs_f64().max(f64::EPSILON))
    }

    /// Returns the time to the first token.
    pub fn first_token(&self) -> Quantiles {
        quantiles(&self.first_token_us)
    }

    /// Returns the time between tokens.
    pub fn gap(&self) -> Quantiles {
        quantiles(&self.gap_us)
    }

    /// Returns the time to a refusal.
    pub fn refusal(&self) -> Quantiles {
        quantiles(&self.refusal_us)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.offered as f64 / self.length.as_secs_f64().max(f64::EPSILON);
        writeln!(
            f,
            "offered          {} requests ({rate:.1}/s over the run)",
            self.offered
        )?;
        writeln!(f, "tries            {}", self.tries)?;
        writeln!(f, "goodput          {:.1}/s", self.goodput().get())?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome:<34} {count}")?;
        }
        writeln!(f, "first token      {}", self.first_token())?;
        writeln!(f, "between tokens   {}", self.gap())?;
        writeln!(f, "until a refusal  {}", self.refusal())?;
        for (index, team) in self.teams.iter().enumerate() {
            let (sent, answered) = (self.sent_by_team[index], self.answered_by_team[index]);
            writeln!(f, "team {team:<20} sent {sent}, answered {answered}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Quantiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            p50_ms,
            p95_ms,
            p99_ms,
        } = self;
        write!(
            f,
            "p50 {p50_ms:.2} ms, p95 {p95_ms:.2} ms, p99 {p99_ms:.2} ms"
        )
    }
}

#[expect(
    clippy::expect_used,
    reason = "the bounds are constants that the histogram accepts"
)]
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("valid bounds")
}

fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    let latency_us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
    histogram.saturating_record(latency_us.max(1));
}

fn quantiles(histogram: &Histogram<u64>) -> Quantiles {
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50_ms: at(0.50),
        p95_ms: at(0.95),
        p99_ms: at(0.99),
    }
}
