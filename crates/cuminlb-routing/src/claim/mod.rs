//! Claims, which ensure that a non-idempotent request is executed at most once.

mod content_digest;
mod repeat_verdict;
mod settle_step;

pub use self::content_digest::content_digest;
pub use self::repeat_verdict::{CLAIM_RETENTION_MS, RepeatVerdict, judge_repeat};
pub use self::settle_step::{SettleStep, next_settle_step};
