//! Claims: at most one execution of a non-idempotent request.

mod content;
mod repeat_verdict;
mod settle_step;

pub use self::content::content_digest;
pub use self::repeat_verdict::{CLAIM_RETENTION_MS, RepeatVerdict, judge_repeat};
pub use self::settle_step::{SettleStep, next_settle_step};
