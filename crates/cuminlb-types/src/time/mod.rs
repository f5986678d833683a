//! Points of time and durations, in milliseconds.

mod millis;
mod unix_millis;

pub use self::millis::Millis;
pub use self::unix_millis::UnixMillis;
