//! When a node that was asked to stop closes, refuses, answers and aborts.

use std::time::Duration;

use tokio::time::Instant;

/// How long a node that was asked to stop continues to accept connections, because the load balancer
/// notices only with its next readiness check.
const CLOSE_DELAY: Duration = Duration::from_millis(3_000);

/// The same as a fraction of the grace, for a short one.
const MAX_CLOSE_FRACTION: f64 = 0.5;

/// Fraction of the grace after which the connections that remain are aborted.
const ABORT_FRACTION: f64 = 0.92;

/// The time before the abort in which the answers to requests without a response are sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// The same as a fraction of the grace, for a short one.
const MAX_ANSWER_MARGIN_FRACTION: f64 = 0.05;

/// How long before the listener closes the last stream begins, so that its caller has sent it while
/// the load balancer could still choose this node.
const STREAM_MARGIN: Duration = Duration::from_millis(100);

/// How many target latencies a request that is not a stream is expected to take at most. A refusal costs
/// its caller another connection, an unknown outcome the whole request.
const EXPECTED_LATENCIES: u32 = 2;

/// The times of a planned stop: when the listener closes, until when requests may begin, by when they
/// must be answered, and when the connections that remain are aborted.
///
/// This answers the load of callers that keep their connections and go on sending until the process
/// is gone. What can't end before the abort is refused as not run, so that its caller goes to another
/// node at once, or is answered with its outcome unknown; only streams that have begun are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    signaled_at: Instant,
    /// The time from the signal until the process is killed.
    grace: Duration,
}

impl DrainSchedule {
    /// Returns the schedule of a node that is killed `grace` after a signal.
    pub const fn new(signaled_at: Instant, grace: Duration) -> Self {
        Self { signaled_at, grace }
    }

    /// Returns how long after the signal the listener of a node with a grace closes.
    pub fn close_delay(grace: Duration) -> Duration {
        CLOSE_DELAY.min(grace.mul_f64(MAX_CLOSE_FRACTION))
    }

    /// Returns when the listener closes, and idle connections with it.
    pub fn closes_at(&self) -> Instant {
        self.signaled_at + Self::close_delay(self.grace)
    }

    /// Returns when the connections that remain are aborted.
    pub fn aborts_at(&self) -> Instant {
        self.signaled_at + self.grace.mul_f64(ABORT_FRACTION)
    }

    /// Returns how long before the abort a request without a response is answered.
    pub fn answer_margin(&self) -> Duration {
        ANSWER_MARGIN.min(self.grace.mul_f64(MAX_ANSWER_MARGIN_FRACTION))
    }

    /// Returns by when each request must be answered whose response has not begun.
    pub fn answers_by(&self) -> Instant {
        self.aborts_at() - self.answer_margin()
    }

    /// Returns until when a request may be passed on whose response is not a stream: while it is
    /// expected to end in time, and in any case until the listener closes.
    pub fn plain_starts_by(&self, target_latency: Duration) -> Instant {
        let closes_at = self.closes_at();
        let max_latency = target_latency.saturating_mul(EXPECTED_LATENCIES);
        let starts_by = self.answers_by().checked_sub(max_latency);
        starts_by.map_or(closes_at, |starts_by| starts_by.max(closes_at))
    }

    /// Returns until when a request for a stream may be passed on, whose end nobody knows.
    pub fn stream_starts_by(&self) -> Instant {
        let closes_at = self.closes_at();
        self.signaled_at.max(closes_at - STREAM_MARGIN)
    }
}
