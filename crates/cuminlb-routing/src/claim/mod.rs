//! Claims, which ensure that a non-idempotent request is executed at most once.

mod content_digest;
mod duplicate_resolution;
mod settle_step;

pub use self::content_digest::content_digest;
pub use self::duplicate_resolution::{CLAIM_RETENTION_MS, DuplicateResolution, resolve_duplicate};
pub use self::settle_step::{SettleStep, next_settle_step};
