//! Times and durations.

mod millis;
mod unix_millis;

pub use self::millis::Millis;
pub use self::unix_millis::UnixMillis;
