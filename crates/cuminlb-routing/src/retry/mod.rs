//! Whether a failed try may be repeated.

mod retry_budget;

pub use self::retry_budget::RetryBudget;
