//! Token rates.

use crate::macros::number;

number! {
    /// A rate in tokens per second.
    TokensPerSecond(f64), "token rate", "/s"
}
