//! Whether a failed attempt may be retried.

mod failed_attempt;
mod retry_budget;

pub use self::failed_attempt::{FailedAttempt, MAX_ATTEMPTS};
pub use self::retry_budget::RetryBudget;
