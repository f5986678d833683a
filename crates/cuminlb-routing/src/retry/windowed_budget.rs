//! A retry budget over a sliding window.

use std::time::Duration;

use tokio::time::Instant;

use super::bucket_counts::BucketCounts;
use super::{BudgetUse, RetryAllowance};

/// Limits the retries of one service in any window to a ratio of the requests in that window, plus
/// an extra allowance. Requests beyond those of the window before earn less: they may have moved from
/// another node, which has used what they earned there.
///
/// Unlike [`RetryBudget`](super::RetryBudget), it keeps what was earned for a whole window, so that
/// a node which has seen no failure can retry many requests at once when a zone is lost.
#[derive(Debug, Default)]
pub struct WindowedBudget {
    requests: BucketCounts,
    retries: BucketCounts,
}

impl WindowedBudget {
    /// Records a request.
    pub fn record_request(&mut self, window: Duration, now: Instant) {
        self.requests.add(window, window * 2, now);
    }

    /// Returns how much of the allowance is used.
    pub fn usage(&self, allowance: &RetryAllowance, now: Instant) -> BudgetUse {
        let window = allowance.window;
        let recent = self.requests.surely_within(window / 2, now);
        let requests = self.requests.surely_within(window, now);
        // After the requests have become fewer, those of the first half count less: they soon leave
        // the window, in which the retries stay.
        let requests = requests.min(recent * 2);
        let with_earlier = self.requests.surely_within(window * 2, now);
        let earlier = with_earlier.saturating_sub(self.requests.possibly_within(window, now));
        let steady = requests.min(earlier);
        let earned = allowance.ratio.get() * f64::from(steady)
            + allowance.growth_ratio.get() * f64::from(requests - steady);
        BudgetUse {
            requests,
            retries: self.retries.possibly_within(allowance.retry_validity, now),
            allowed: allowance.extra + earned,
        }
    }

    /// Withdraws one retry; returns `false` if the window has none left.
    pub fn withdraw_retry(&mut self, allowance: &RetryAllowance, now: Instant) -> bool {
        let is_allowed = self.usage(allowance, now).has_retry_left();
        if is_allowed {
            let validity = allowance.retry_validity;
            self.retries.add(allowance.window, validity, now);
        }
        is_allowed
    }
}
