//! Whether a failed attempt may be retried.

mod bucket_counts;
mod failed_attempt;
mod retry_budget;
mod windowed_budget;

pub use self::failed_attempt::{FailedAttempt, MAX_ATTEMPTS};
pub use self::retry_budget::RetryBudget;
pub use self::windowed_budget::WindowedBudget;
