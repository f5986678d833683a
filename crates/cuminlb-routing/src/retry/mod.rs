//! Whether a failed attempt may be retried, and which attempts are open at the same time.

mod bucket_counts;
mod budget_use;
mod failed_attempt;
mod node_share;
mod open_attempt;
mod open_attempts;
mod retry_allowance;
mod retry_bounds;
mod retry_budget;
mod selection;
mod windowed_budget;

pub use self::budget_use::BudgetUse;
pub use self::failed_attempt::{FailedAttempt, MAX_ATTEMPTS};
pub use self::node_share::NodeShare;
pub use self::open_attempts::OpenAttempts;
pub use self::retry_allowance::RetryAllowance;
pub use self::retry_bounds::RetryBounds;
pub use self::retry_budget::RetryBudget;
pub use self::selection::Selection;
pub use self::windowed_budget::WindowedBudget;
