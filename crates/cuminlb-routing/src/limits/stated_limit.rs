//! The rate limit that an instance states in its responses.

use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::test_turns::is_test_due;
use super::{LimitChange, LimitPlace, RecentSends};
use crate::node_rank::NodeRank;

/// The time over which a limit is counted.
const LIMIT_PERIOD: Duration = Duration::from_secs(4);

/// Added to the period, as requests take different times to arrive.
const TRANSIT_MARGIN: Duration = Duration::from_millis(250);

/// The time in which an instance usually answers.
const ANSWER_TIME: Duration = Duration::from_millis(500);

/// The largest error of a number of requests that is a product.
const ROUNDING_ERROR: f64 = 1e-6;

/// The longest time over which a limit is counted.
const MAX_PERIOD: Duration = Duration::from_secs(3_600);

/// The rate limit that one incarnation of an instance states, as this node has heard it.
#[derive(Clone, Debug, Default)]
pub struct StatedLimit {
    incarnation: Incarnation,
    limit: Option<RequestsPerSecond>,
    /// When the request was sent whose response was the last to confirm or change the limit.
    as_of: Option<Instant>,
    has_unreadable: bool,
}

impl StatedLimit {
    /// Records what the response to a request that was sent at `sent_at` states. Responses can overtake
    /// each other on different connections: the one to the latest request holds, but a lower limit holds at
    /// once, as an instance may state it in the answer to an earlier request first.
    pub fn record(
        &mut self,
        incarnation: Incarnation,
        statement: RateStatement,
        sent_at: Instant,
    ) -> Option<LimitChange> {
        if incarnation < self.incarnation {
            return None;
        }
        let had_limit = self.limit.is_some();
        if incarnation > self.incarnation {
            *self = Self {
                incarnation,
                ..Self::default()
            };
        }
        if self.as_of.is_some_and(|as_of| sent_at < as_of) && !self.is_lowered_by(statement) {
            return None;
        }
        self.as_of = self.as_of.max(Some(sent_at));
        match statement {
            RateStatement::Limited(limit) => {
                let known = self.limit.replace(limit);
                (known != Some(limit)).then_some(LimitChange::Stated(limit))
            }
            RateStatement::Unlimited => {
                self.limit = None;
                had_limit.then_some(LimitChange::Ended)
            }
            RateStatement::Unreadable => {
                let is_first = !std::mem::replace(&mut self.has_unreadable, true);
                is_first.then_some(LimitChange::Unreadable)
            }
        }
    }

    /// Returns whether a statement sets a limit, or one below that which holds.
    fn is_lowered_by(&self, statement: RateStatement) -> bool {
        match statement {
            RateStatement::Limited(limit) => self.limit.is_none_or(|known| limit < known),
            RateStatement::Unlimited | RateStatement::Unreadable => false,
        }
    }

    /// Returns whether a limit holds.
    pub const fn is_limited(&self) -> bool {
        self.limit.is_some()
    }

    /// Returns whether an incarnation of the instance may get a request of the node at `rank`, which has
    /// sent `sends`; `clock` is the time of day.
    ///
    /// The nodes divide the requests of any four seconds, so that all together stay within the limit
    /// without any message, and whenever they learn of it.
    pub fn place(
        &self,
        incarnation: Incarnation,
        sends: &RecentSends,
        rank: NodeRank,
        now: Instant,
        clock: UnixMillis,
    ) -> LimitPlace {
        let Some(limit) = self.limit.filter(|_| incarnation == self.incarnation) else {
            return LimitPlace::Free;
        };
        let period = counting_period(limit);
        let total = requests_within(limit, period);
        let share = rank.share(total);
        if share > 0 {
            let free_at = sends.below(share, period + TRANSIT_MARGIN, now);
            let free_at = free_at.max(self.answered_at(sends, now));
            return free_at.map_or(LimitPlace::Free, LimitPlace::FreeAt);
        }
        if is_test_due(sends, rank, now, clock) {
            return LimitPlace::Free;
        }
        let mean_distance = period.div_f64(total.max(1) as f64);
        LimitPlace::None(now + mean_distance.min(LIMIT_PERIOD))
    }

    /// Returns when the last request should have been answered, if the limit is so old that it may have
    /// changed.
    fn answered_at(&self, sends: &RecentSends, now: Instant) -> Option<Instant> {
        let is_old = |as_of: Instant| now.duration_since(as_of) >= LIMIT_PERIOD;
        self.as_of
            .is_some_and(is_old)
            .then(|| sends.below(1, ANSWER_TIME, now))
            .flatten()
    }
}

/// Returns the time over which a limit is counted, in which at least one request is sent.
fn counting_period(limit: RequestsPerSecond) -> Duration {
    let time_of_one = Duration::try_from_secs_f64(limit.get().recip());
    time_of_one.map_or(LIMIT_PERIOD, |time| time.clamp(LIMIT_PERIOD, MAX_PERIOD))
}

/// Returns the number of requests that a limit allows within a period.
fn requests_within(limit: RequestsPerSecond, period: Duration) -> usize {
    let requests = limit.get() * period.as_secs_f64();
    // The product of a rate and the time of one request may lie just below one.
    (requests + ROUNDING_ERROR).floor() as usize
}
