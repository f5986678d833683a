//! [`FailedTry`].

use super::RetryBudget;

/// The most tries of one request.
pub const MAX_TRIES: u32 = 3;

/// A try of a request that gave no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedTry {
    /// The number of tries so far.
    pub tries: u32,
    /// Whether the request may have run in this try.
    pub may_have_run: bool,
    /// Whether the request may run again without harm.
    pub is_repeatable: bool,
}

impl FailedTry {
    /// Tells whether the request may be tried again, and takes that out of the budget.
    pub fn take_retry(&self, budget: &RetryBudget) -> bool {
        let is_safe = self.is_repeatable || !self.may_have_run;
        is_safe && self.tries < MAX_TRIES && budget.take_retry()
    }
}
