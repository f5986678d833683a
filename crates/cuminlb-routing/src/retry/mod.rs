//! Whether a failed attempt may be retried.

mod failed_try;
mod retry_budget;

pub use self::failed_try::{FailedTry, MAX_TRIES};
pub use self::retry_budget::RetryBudget;
