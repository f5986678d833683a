//! The decision whether to retry after a failed attempt.

use super::RetryBudget;

/// The maximum number of attempts for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 3;

/// An attempt of a request that got no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// The number of attempts so far.
    pub attempts: u32,
    /// Whether the request may have run in this attempt.
    pub may_have_run: bool,
    /// Whether the request may safely run more than once.
    pub is_idempotent: bool,
}

impl FailedAttempt {
    /// Returns whether the request may be retried, and if so, withdraws the retry from the budget.
    pub fn withdraw_retry(&self, budget: &RetryBudget) -> bool {
        let is_safe = self.is_idempotent || !self.may_have_run;
        is_safe && self.attempts < MAX_ATTEMPTS && budget.withdraw_retry()
    }
}
