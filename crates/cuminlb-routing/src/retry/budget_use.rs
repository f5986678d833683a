//! How much of a retry budget is used.

use std::fmt;

/// How much of a node's part of a retry budget is used within the window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetUse {
    /// The requests that earn retries.
    pub requests: u32,
    /// The retries.
    pub retries: u32,
    /// The retries that the node may make.
    pub allowed: f64,
}

impl BudgetUse {
    /// Returns whether one more retry may be made.
    pub fn has_retry_left(&self) -> bool {
        f64::from(self.retries + 1) <= self.allowed
    }
}

impl fmt::Display for BudgetUse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            requests,
            retries,
            allowed,
        } = self;
        write!(f, "{retries} of {allowed:.1} retries, {requests} requests")
    }
}
