//! Decides from repeated health probes whether an instance is lost.

use std::time::Duration;

use cuminlb_catalog::ProbeResponse;
use tokio::time::Instant;

use crate::ProbeVerdict;

/// How long an instance must have been silent to be taken for lost. A sound process may stop for a
/// second and go on.
const SILENCE_CONFIRMATION: Duration = Duration::from_millis(1_150);

/// Delay before a silent instance is probed again.
const SILENT_RETRY_DELAY: Duration = Duration::from_millis(120);

/// Repeated health probes of one instance.
#[derive(Clone, Copy, Debug)]
pub struct ProbeSeries {
    started_at: Instant,
    /// The number of failed probes from which on the instance is lost.
    max_failures: u32,
    failures: u32,
}

impl ProbeSeries {
    /// Starts a series in which an instance is lost after `max_failures` failed probes.
    pub const fn new(max_failures: u32, started_at: Instant) -> Self {
        Self {
            started_at,
            max_failures,
            failures: 0,
        }
    }

    /// Records a response that arrived at `now`, or its absence, and decides how to go on.
    ///
    /// A failed probe shows that the process has ended. Silence alone shows that only if it lasts.
    pub fn record(&mut self, response: &ProbeResponse, now: Instant) -> ProbeVerdict {
        match response {
            ProbeResponse::Report(_) => ProbeVerdict::Responding,
            ProbeResponse::NoReport | ProbeResponse::Failed => {
                self.failures += 1;
                if self.failures >= self.max_failures {
                    ProbeVerdict::Lost
                } else {
                    ProbeVerdict::ProbeAgain {
                        delay: Duration::ZERO,
                    }
                }
            }
            ProbeResponse::Silent => {
                if now.duration_since(self.started_at) >= SILENCE_CONFIRMATION {
                    ProbeVerdict::Lost
                } else {
                    ProbeVerdict::ProbeAgain {
                        delay: SILENT_RETRY_DELAY,
                    }
                }
            }
        }
    }
}
