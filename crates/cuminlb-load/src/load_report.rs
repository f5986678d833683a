//! The aggregated results of a load run, printed as a text report.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use cuminlb_types::prelude::*;
use hdrhistogram::Histogram;

use crate::{Outcome, Sample, TeamLoad};

/// The highest latency that the histograms can record; longer ones are clamped to it.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The counts and latencies measured in one load run.
#[derive(Clone, Debug)]
pub struct LoadReport {
    teams: Vec<String>,
    offered: u64,
    attempts: u64,
    outcomes: BTreeMap<Outcome, u64>,
    sent_by_team: Vec<u64>,
    completed_by_team: Vec<u64>,
    time_to_first_token_us: Histogram<u64>,
    inter_token_gap_us: Histogram<u64>,
    time_to_refusal_us: Histogram<u64>,
    duration: Duration,
}

/// Three quantiles of a latency distribution, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quantiles {
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

impl LoadReport {
    pub(crate) fn new(teams: &[TeamLoad]) -> Self {
        Self {
            teams: teams.iter().map(|team| team.name.clone()).collect(),
            offered: 0,
            attempts: 0,
            outcomes: BTreeMap::new(),
            sent_by_team: vec![0; teams.len()],
            completed_by_team: vec![0; teams.len()],
            time_to_first_token_us: histogram(),
            inter_token_gap_us: histogram(),
            time_to_refusal_us: histogram(),
            duration: Duration::ZERO,
        }
    }

    pub(crate) fn add(&mut self, sample: &Sample) {
        self.offered += 1;
        self.attempts += u64::from(sample.attempts);
        *self.outcomes.entry(sample.outcome.clone()).or_default() += 1;
        let completed = sample.outcome == Outcome::Completed;
        if let Some(sent) = self.sent_by_team.get_mut(sample.team) {
            *sent += 1;
        }
        if let Some(count) = self.completed_by_team.get_mut(sample.team) {
            *count += u64::from(completed);
        }
        if let Some(time_to_first_token) = sample.time_to_first_token.filter(|_| completed) {
            record(&mut self.time_to_first_token_us, time_to_first_token);
            sample
                .inter_token_gaps
                .iter()
                .for_each(|inter_token_gap| record(&mut self.inter_token_gap_us, *inter_token_gap));
        }
        if matches!(sample.outcome, Outcome::Refused { .. }) {
            record(&mut self.time_to_refusal_us, sample.total_latency);
        }
    }

    pub(crate) const fn set_duration(&mut self, duration: Duration) {
        self.duration = duration;
    }

    /// Returns the number of offered requests: every scheduled one, whatever its outcome.
    pub const fn offered(&self) -> u64 {
        self.offered
    }

    /// Returns the number of requests with this outcome.
    pub fn count(&self, outcome: &Outcome) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or_default()
    }

    /// Returns the rate of complete responses, averaged over the run.
    pub fn goodput(&self) -> RequestsPerSecond {
        let completed = self.count(&Outcome::Completed);
        RequestsPerSecond(completed as f64 / self.duration.as_secs_f64().max(f64::EPSILON))
    }

    /// Returns the quantiles of the time from the scheduled send time to the first token.
    pub fn time_to_first_token(&self) -> Quantiles {
        quantiles(&self.time_to_first_token_us)
    }

    /// Returns the quantiles of the time between consecutive tokens.
    pub fn inter_token_gap(&self) -> Quantiles {
        quantiles(&self.inter_token_gap_us)
    }

    /// Returns the quantiles of the time from the scheduled send time to a final refusal.
    pub fn time_to_refusal(&self) -> Quantiles {
        quantiles(&self.time_to_refusal_us)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = self.offered as f64 / self.duration.as_secs_f64().max(f64::EPSILON);
        writeln!(
            f,
            "offered          {} requests ({rate:.1}/s over the run)",
            self.offered
        )?;
        writeln!(f, "tries            {}", self.attempts)?;
        writeln!(f, "goodput          {:.1}/s", self.goodput().get())?;
        for (outcome, count) in &self.outcomes {
            writeln!(f, "  {outcome:<34} {count}")?;
        }
        writeln!(f, "first token      {}", self.time_to_first_token())?;
        writeln!(f, "between tokens   {}", self.inter_token_gap())?;
        writeln!(f, "until a refusal  {}", self.time_to_refusal())?;
        for (index, team) in self.teams.iter().enumerate() {
            let (sent, completed) = (self.sent_by_team[index], self.completed_by_team[index]);
            writeln!(f, "team {team:<20} sent {sent}, answered {completed}")?;
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
    let value_ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
    Quantiles {
        p50_ms: value_ms(0.50),
        p95_ms: value_ms(0.95),
        p99_ms: value_ms(0.99),
    }
}
